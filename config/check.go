package config

// Check returns every fault of the set as a whole, with the file, line and
// object of each when the set was loaded from files. A set without a fault can
// be published.
func Check(s Set) Problems {
	c := checker{set: s.Normalised()}
	c.run()
	c.problems.Sort()
	return c.problems
}
