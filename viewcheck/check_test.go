package viewcheck_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/viewcheck"
)

const (
	seeds = 400
	steps = 120
)

func TestViewsAreTrue(t *testing.T) {
	for _, source := range viewcheck.Sources() {
		t.Run(source.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				is.New(t).NoErr(viewcheck.Check{Source: source, Seed: seed, Steps: steps}.Run())
			}
		})
	}
}

func TestCheckCanFail(t *testing.T) {
	for _, source := range viewcheck.Sources() {
		t.Run(source.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.True(detects(source, viewcheck.TrustRevision))
			is.True(detects(source, viewcheck.IgnoreEpoch))
		})
	}
}

func detects(source catalogue.Source, mutant viewcheck.Mutant) bool {
	for seed := range uint64(seeds) {
		if (viewcheck.Check{Source: source, Seed: seed, Steps: steps, Mutant: mutant}).Run() != nil {
			return true
		}
	}
	return false
}
