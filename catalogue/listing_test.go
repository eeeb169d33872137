package catalogue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
)

func TestListing(t *testing.T) {
	is := is.New(t)
	page := func(version catalogue.Version, name string) catalogue.Update {
		return catalogue.Update{Source: catalogue.Servers, Version: version, Records: []catalogue.Record{{Name: name}}}
	}
	var listing catalogue.Listing
	start := time.Unix(1000, 0)
	_, done := listing.Add(start, page(7, "a"), "a")
	is.True(!done)
	is.Equal(listing.After(), "a")
	list, done := listing.Add(start.Add(time.Second), page(9, "b"), "")
	is.True(done)
	is.True(list.Full)
	is.Equal(list.Version, catalogue.Version(7)) // the watch returns the later changes
	is.Equal(list.AsOf, start)
	is.Equal(len(list.Records), 2)
	is.Equal(listing.After(), "")
}
