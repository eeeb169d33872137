package catalogue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
)

func TestListing(t *testing.T) {
	is := is.New(t)
	page := func(version catalogue.Version, name string) catalogue.Answer {
		return catalogue.Answer{Source: catalogue.Servers, Version: version, Records: []catalogue.Record{{Name: name}}}
	}
	var l catalogue.Listing
	start := time.Unix(1000, 0)
	_, done := l.Add(start, page(7, "a"), "a")
	is.True(!done)
	is.Equal(l.After(), "a")
	whole, done := l.Add(start.Add(time.Second), page(9, "b"), "")
	is.True(done)
	is.True(whole.Whole)
	is.Equal(whole.Version, catalogue.Version(7)) // later changes are watched for
	is.Equal(whole.Asked, start)
	is.Equal(len(whole.Records), 2)
	is.Equal(l.After(), "")
}
