package config

// Check returns every problem of the set as a whole, with the file, line and
// object of each if the set was loaded from files. A set without problems can
// be published.
func Check(s Set) Problems {
	c := checker{set: s.Normalised()}
	c.run()
	c.problems.Sort()
	return c.problems
}
