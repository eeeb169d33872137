package config

// WithOperationalState returns a copy of the set that takes the states of data
// centres and the drain flags of servers from the set in force, unless a file
// declares them. Otherwise publishing files would revert operator commands: it
// would return a data centre to service or end a drain.
func (s Set) WithOperationalState(inForce Set) Set {
	merged := s.clone()
	centres := byKey(inForce.DataCentres, DataCentre.key)
	for i := range merged.DataCentres {
		centre := &merged.DataCentres[i]
		if before, ok := centres[centre.Name]; ok && !declares(centre, "state") {
			centre.State = before.State
		}
	}
	servers := byKey(inForce.Servers, Server.key)
	for i := range merged.Servers {
		server := &merged.Servers[i]
		if before, ok := servers[server.Name]; ok && !declares(server, "drain") {
			server.Drain = before.Drain
		}
	}
	return merged
}

// declares reports whether a file sets the key of the object.
func declares(object declaredObject, key string) bool {
	origin := object.declaredAt()
	return origin != nil && origin.Has(key)
}
