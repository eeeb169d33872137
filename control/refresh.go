package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
	"github.com/rattanthread/rattanthread/membership"
	"github.com/rattanthread/rattanthread/request"
)

// phaseFactor spreads the digest of the data centre phases over all bits of State.Digest.
const phaseFactor = 0x9e3779b97f4a7c15

// confirmationStep is the granularity at which an extended confirmation is passed
// to the keys.
const confirmationStep = time.Second

// refresh passes to each component the changes of the others since the last call.
func (c *Core) refresh(now time.Time) Output {
	var out Output
	if c.isStopping() {
		return out
	}
	members := c.members.Version()
	if members != c.installed.membersVersion {
		c.rollout.Install(now, c.members.Live())
	}
	published, ok := c.rollout.InForce()
	if !ok || !c.rollout.Ready() || !c.joinWait.observe(now, len(c.members.Live())) {
		// A new host that has not discovered all peers would consider itself the
		// owner of their slots.
		c.installed.membersVersion = members
		return out
	}
	configChanged := published.Revision != c.installed.revision || published.History != c.installed.history
	if configChanged {
		c.dataCentres.Install(now, published.Set.DataCentres)
		c.dataCentres.SetRevision(published.Revision)
	}
	phaseDigest := c.dataCentres.PhaseDigest(now)
	if configChanged || members != c.installed.membersVersion || phaseDigest != c.installed.phaseDigest {
		out.add(sendOutput(c.servers.Install(now, c.serverView(now, published.Set))))
	}
	out.add(c.refreshKeys(now, published.Set, configChanged || members != c.installed.membersVersion))
	if c.partitioned.due(now, members) {
		c.partitioned.observe(now, c.options.Self.DataCentre, c.members.Members())
	}
	records, admissions := c.servers.Digests()
	state := membership.State{Revision: published.Revision, Digest: records ^ phaseDigest*phaseFactor ^ admissions}
	c.members.SetLocalState(now, state)
	next := componentInputs{
		membersVersion:     members,
		history:            published.History,
		revision:           published.Revision,
		phaseDigest:        phaseDigest,
		records:            records,
		settled:            c.members.Settled(now, state),
		partitionedVersion: c.partitioned.version,
	}
	if next == c.installed {
		return out
	}
	c.installed = next
	out.add(sendOutput(c.flows.Install(now, c.flowView(now, published.Set, next.settled))))
	return out
}

// refreshKeys passes changed inputs to the keys. They are handled separately from
// the inputs of the flow tables because they change more often and are cheap to
// install.
func (c *Core) refreshKeys(now time.Time, set config.Set, changed bool) Output {
	next := keyInputs{
		confirmed:      c.dataCentres.Confirmed(now),
		confirmedUntil: c.dataCentres.ConfirmedUntil().Truncate(confirmationStep),
		hostsVersion:   c.platformHosts.version,
	}
	if !changed && next == c.keyInputs {
		return Output{}
	}
	c.keyInputs = next
	return requestOutput(c.keys.Install(now, c.keyView(set, next.confirmed)))
}

func (c *Core) keyView(set config.Set, confirmed bool) request.View {
	return request.View{
		Self:        c.options.Self.ID,
		DataCentre:  c.options.Self.DataCentre,
		Hosts:       c.members.Live(),
		Departed:    c.platformHosts.departed(c.members.Members()),
		DataCentres: set.DataCentres,
		Lifetimes:   keyLifetimes(set),
		Confirmed:   confirmed,

		ConfirmedUntil: c.dataCentres.ConfirmedUntil(),
	}
}

func (c *Core) serverView(now time.Time, set config.Set) backend.View {
	view := backend.View{
		Self:     c.options.Self.ID,
		Hosts:    c.liveIDs(),
		Servers:  set.Servers,
		Excluded: make(map[fleet.ServerID]bool),
	}
	for _, s := range set.Servers {
		if !c.acceptsWork(now, s.DataCentre) {
			view.Excluded[s.Name] = true
		}
	}
	return view
}

// acceptsWork reports whether a data centre receives new work.
func (c *Core) acceptsWork(now time.Time, id fleet.DataCentreID) bool {
	phase := c.dataCentres.Phase(now, id)
	return phase == fleet.DataCentreIn || phase == fleet.DataCentreReturning
}

func (c *Core) liveIDs() []fleet.HostID {
	live := c.members.Live()
	ids := make([]fleet.HostID, len(live))
	for i, h := range live {
		ids[i] = h.ID
	}
	return ids
}

func keyLifetimes(set config.Set) map[fleet.ServiceName]time.Duration {
	lifetimes := make(map[fleet.ServiceName]time.Duration)
	for _, s := range set.Services {
		if s.Kind == config.KindRequest {
			lifetimes[s.Name] = s.Request.KeyLifetime
		}
	}
	return lifetimes
}

func (c *Core) flowView(now time.Time, set config.Set, settled bool) flow.View {
	view := flow.View{Self: c.options.Self.ID, Hosts: c.liveIDs(), Partitioned: c.partitioned.hosts, Settled: settled}
	weights := c.weights(now, set)
	servers := make(map[fleet.ServiceName][]flow.Server)
	for _, s := range set.Servers {
		servers[s.Service] = append(servers[s.Service], c.flowServer(now, s, weights[s.Name]))
	}
	for _, service := range set.Services {
		if service.Kind != config.KindFlow {
			continue
		}
		view.Services = append(view.Services, flow.Service{
			Name:          service.Name,
			Address:       service.Address,
			Protocol:      protocolOf(service),
			IdleTimeout:   service.Flow.IdleTimeout,
			SilentTimeout: service.Flow.SilentTimeout,
			Servers:       sortedServers(servers[service.Name]),
		})
	}
	slices.SortFunc(view.Services, func(a, b flow.Service) int { return cmp.Compare(a.Name, b.Name) })
	return view
}

func (c *Core) flowServer(now time.Time, s config.Server, weight fleet.Weight) flow.Server {
	return flow.Server{
		ID:         s.Name,
		DataCentre: s.DataCentre,
		Weight:     weight,
		Address:    s.Address,
		Admission:  flowAdmission(c.servers.Admission(s.Name)),
		Out:        c.dataCentres.Phase(now, s.DataCentre) == fleet.DataCentreOut,
	}
}

func flowAdmission(a backend.Admission) flow.Admission {
	switch a {
	case backend.AdmitFreely:
		return flow.AdmitFreely
	case backend.AdmitByCredit:
		return flow.AdmitByCredit
	default:
		return flow.AdmitNone
	}
}

func protocolOf(s config.Service) fleet.Protocol {
	if s.Protocol == "udp" {
		return fleet.ProtocolUDP
	}
	return fleet.ProtocolTCP
}

func sortedServers(servers []flow.Server) []flow.Server {
	slices.SortFunc(servers, func(a, b flow.Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}
