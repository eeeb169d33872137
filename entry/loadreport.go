package entry

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/declaration"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/load"
)

// Limits of the load reports on a stream.
const (
	// loadReportBytesPerSecond bounds the reports in each direction of a stream.
	loadReportBytesPerSecond = 4 << 10
	// maxLoadReportBytes bounds a report that is sent. At loadReportBytesPerSecond the next
	// one follows after 750 ms at the latest, before receivers discard this one after 1 s.
	maxLoadReportBytes = loadReportBytesPerSecond * 3 / 4
	// maxReceivedReportBytes bounds a report that is accepted. It exceeds maxLoadReportBytes,
	// so that later versions may send longer ones.
	maxReceivedReportBytes = 4 * maxLoadReportBytes
	// packedReportBytesPerSecond bounds the packed reports with positions in each direction of a stream.
	// A host of the feed tree has at most feedFanout+1 streams, and may send and receive 18,000 B/s
	// on all of them together. 600 B/s are left for the streams to four other data centres, which
	// take 540 B/s while no service is short.
	packedReportBytesPerSecond = (18_000 - 600) / (feedFanout + 1)
	// maxPackedReportBytes bounds a packed report with positions. At packedReportBytesPerSecond the
	// next one follows after two feedIntervals at the latest. One of 680 servers has 1.3 KB, and 1.7 KB
	// if most have requests in flight.
	maxPackedReportBytes = packedReportBytesPerSecond * 4 / 5
	// usualSlowdown is the slowdown of a server of usual speed, in 1/16, and
	// notableSlowdown that from which on a report sends a server first. Response times
	// of servers of equal speed differ by less.
	usualSlowdown   = 16
	notableSlowdown = usualSlowdown * 5 / 4
)

// reportFault is the reason why a load report is rejected.
type reportFault int

// Reasons why a load report is rejected.
const (
	reportMalformed reportFault = iota
	// reportUnknownList means that the report refers to servers by their position in a list that
	// the receiver does not have.
	reportUnknownList
	reportTooLong
	reportWrongHost
	reportAbsurd
	// reportRefused means that the receiver of the valid report returned an error.
	reportRefused
	reportFaultCount
)

var reportFaultNames = [reportFaultCount]string{"malformed", "unknown_list", "too_long", "wrong_host", "absurd", "refused"}

func (f reportFault) String() string { return reportFaultNames[f] }

// loadExchange is the part of a load.Tracker that the feeds use. Its fields are called with
// Host.mu held. If they are nil, no reports are exchanged.
type loadExchange struct {
	// ReportFor returns a report that shares no memory with the tracker.
	ReportFor  func(now time.Time, peer fleet.HostID) load.Report
	Receive    func(now time.Time, peer fleet.HostID, report load.Report) error
	Disconnect func(peer fleet.HostID)
	// Short returns the services that are short in this data centre, with the admitted fractions, and
	// ReceiveElsewhere stores those of another one. If they are nil, nothing is exchanged with other data centres.
	Short            func(now time.Time) load.DataCentreLoads
	ReceiveElsewhere func(now time.Time, dataCentre fleet.DataCentreID, message load.DataCentreLoads) error
}

// loadMessage is a load report with its sender.
type loadMessage struct {
	Host   fleet.HostID `cbor:"host"`
	Report load.Report  `cbor:"report"`
	// List is the digest of the sender's list of servers. Hosts that don't send it understand no
	// packed reports.
	List load.ListDigest `cbor:"list,omitempty"`
	// Packed holds the servers in place of Report.Servers, packed with the list of List.
	Packed []byte `cbor:"packed,omitempty"`
}

// maxServerLists is how many lists of servers a host keeps. Two hosts have different lists for less
// than a second after a server was added or removed; while a host starts, its list grows by 500 servers
// at a time.
const maxServerLists = 8

// serverLists holds the latest lists of the servers of this data centre. The zero value is ready to use.
type serverLists struct {
	mu    sync.Mutex
	of    *catalogue.Catalogue
	lists []*load.ServerList
}

// current returns the list of a catalogue, which may be nil.
func (l *serverLists) current(current *catalogue.Catalogue, dataCentre fleet.DataCentreID) *load.ServerList {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.of != current || len(l.lists) == 0 {
		l.of = current
		var servers []*catalogue.Server
		if current != nil {
			servers = current.ServersIn(dataCentre)
		}
		list := load.NewServerList(servers)
		l.lists = slices.DeleteFunc(l.lists, func(other *load.ServerList) bool { return other.Digest() == list.Digest() })
		l.lists = append(l.lists, list)
		if len(l.lists) > maxServerLists {
			l.lists = slices.Delete(l.lists, 0, 1)
		}
	}
	return l.lists[len(l.lists)-1]
}

// find returns the list with a digest, or nil.
func (l *serverLists) find(digest load.ListDigest) *load.ServerList {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.lists {
		if list.Digest() == digest {
			return list
		}
	}
	return nil
}

// serverList returns the list of the servers of this data centre.
func (h *Host) serverList() *load.ServerList {
	return h.serverLists.current(h.snapshot.Load().catalogue, h.Settings.DataCentre)
}

// followerMessage is a message of a follower after its hello.
type followerMessage struct {
	// LoadReport is an encoded loadMessage, so that a faulty one is rejected by itself.
	LoadReport cbor.RawMessage `cbor:"load_report,omitempty"`
}

// learning reports whether loads are recorded, reported and used.
func (h *Host) learning() bool {
	return h.activeSettings.Load().Load.Learning != LearningOff
}

// exchangesLoad reports whether the host sends and uses load reports.
func (h *Host) exchangesLoad() bool { return h.loadExchange.ReportFor != nil && h.learning() }

// loadPeer exchanges load reports with the host at the other end of a stream. One goroutine may
// send while another one receives.
type loadPeer struct {
	host *Host
	// id is set by connect.
	id fleet.HostID
	// nextReport is the time from which on the next report may be sent.
	nextReport time.Time
	// list is the digest of the peer's latest list, zero if it understands no packed reports.
	list atomic.Uint64
}

// connect sets the peer. There may be several streams with a peer, if hosts disagree about who
// follows whom, or if one has restarted: its reports are used until the last stream ends.
func (p *loadPeer) connect(id fleet.HostID) {
	if id == "" || id == p.host.Settings.Host {
		return
	}
	p.id = id
	p.host.mu.Lock()
	defer p.host.mu.Unlock()
	if p.host.loadStreams == nil {
		p.host.loadStreams = make(map[fleet.HostID]int)
	}
	p.host.loadStreams[id]++
}

// disconnect records that the stream has ended.
func (p *loadPeer) disconnect() {
	if p.id == "" {
		return
	}
	p.host.mu.Lock()
	defer p.host.mu.Unlock()
	p.host.loadStreams[p.id]--
	if p.host.loadStreams[p.id] > 0 {
		return
	}
	delete(p.host.loadStreams, p.id)
	if p.host.loadExchange.Disconnect != nil {
		p.host.loadExchange.Disconnect(p.id)
	}
}

// report returns an encoded loadMessage, or nil if none is due.
func (p *loadPeer) report() cbor.RawMessage {
	host := p.host
	now := host.network.Now()
	if p.id == "" || !host.exchangesLoad() || now.Before(p.nextReport) {
		return nil
	}
	host.mu.Lock()
	report := host.loadExchange.ReportFor(now, p.id)
	host.mu.Unlock()
	format := reportFormat{list: host.serverList(), peer: load.ListDigest(p.list.Load())}
	data, omitted, err := format.encode(host.Settings.Host, report)
	if err != nil {
		host.log.Line("load_report_failed", "peer", p.id, "error", err)
		return nil
	}
	p.nextReport = format.next(now, p.nextReport, len(data))
	host.metrics.countLoadReport(loadReportSent, len(data))
	host.metrics.omittedLoads.Add(float64(omitted))
	return data
}

// reportFormat is how reports to a peer are encoded: packed with positions if it has the same list of
// servers, packed with cookies if it has another one, and as arrays if it states none, because it is
// of an earlier version.
type reportFormat struct {
	list *load.ServerList
	peer load.ListDigest
}

// sameList reports whether the peer has the list of this host.
func (f reportFormat) sameList() bool { return f.peer == f.list.Digest() }

// maxBytes returns the maximum size of a report. Cookies take 2 KB more for 680 servers than positions.
func (f reportFormat) maxBytes() int {
	if f.sameList() {
		return maxPackedReportBytes
	}
	return maxLoadReportBytes
}

// next returns when the next report may follow one of some bytes. A packed one may follow as much earlier
// as the one before was late: streams send every feedInterval, so one of a byte too many would halve
// the rate of reports otherwise.
func (f reportFormat) next(now, due time.Time, size int) time.Time {
	if !f.sameList() {
		return now.Add(time.Duration(size) * time.Second / loadReportBytesPerSecond)
	}
	if earliest := now.Add(-feedInterval); due.Before(earliest) {
		due = earliest
	}
	return due.Add(time.Duration(size) * time.Second / packedReportBytesPerSecond)
}

// message returns the message with a report.
func (f reportFormat) message(sender fleet.HostID, report load.Report) (loadMessage, error) {
	message := loadMessage{Host: sender, Report: report, List: f.list.Digest()}
	if f.peer == 0 || len(report.Servers) == 0 {
		return message, nil
	}
	list := f.list
	if !f.sameList() {
		list = nil
	}
	var err error
	message.Packed, err = load.PackServers(report.Servers, list)
	message.Report.Servers = nil
	return message, err
}

// encode encodes a report in at most maxBytes, and returns how many servers it omits. Servers
// that are slow or have many requests in flight come first, since decisions depend on them most.
func (f reportFormat) encode(sender fleet.HostID, report load.Report) (cbor.RawMessage, int, error) {
	report.Elsewhere = shortenElsewhere(report.Elsewhere)
	all := len(report.Servers)
	for {
		message, err := f.message(sender, report)
		if err != nil {
			return nil, 0, errors.Wrap(err, "pack load report")
		}
		data, err := cbor.Marshal(message)
		if err != nil {
			return nil, 0, errors.Wrap(err, "encode load report")
		}
		servers := len(report.Servers)
		if len(data) <= f.maxBytes() {
			return data, all - servers, nil
		}
		if servers == 0 && len(report.Demand) == 0 {
			return nil, 0, errors.Errorf("load report without content has %d bytes", len(data))
		}
		if servers == all {
			slices.SortFunc(report.Servers, compareLoads)
		}
		// A server may be encoded in more than the mean, so that it may take several steps.
		report.Servers = report.Servers[:min(max(0, servers-1), servers*f.maxBytes()/len(data))]
		if servers == 0 {
			report.Demand = report.Demand[:len(report.Demand)/2]
		}
	}
}

// compareLoads orders servers by how much they matter in a report.
func compareLoads(a, b load.ServerLoad) int {
	if slow := isNotablySlow(a); slow != isNotablySlow(b) {
		if slow {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.Server, b.Server))
}

func isNotablySlow(l load.ServerLoad) bool { return l.Samples > 0 && l.Slowdown >= notableSlowdown }

// receive passes an encoded loadMessage to the tracker, or rejects it.
func (p *loadPeer) receive(data cbor.RawMessage) {
	host := p.host
	if !host.exchangesLoad() {
		return
	}
	fault, err := p.accept(data)
	if err != nil {
		host.metrics.rejectedLoads.WithLabelValues(fault.String()).Inc()
		host.log.Line("load_report_rejected", "peer", p.id, "reason", fault.String(), "error", err)
		return
	}
	host.metrics.countLoadReport(loadReportReceived, len(data))
	host.metrics.lastLoadReport.Store(host.network.Now().UnixNano())
}

func (p *loadPeer) accept(data cbor.RawMessage) (reportFault, error) {
	if len(data) > maxReceivedReportBytes {
		return reportTooLong, errors.Errorf("%d bytes", len(data))
	}
	var message loadMessage
	if err := cbor.Unmarshal(data, &message); err != nil {
		return reportMalformed, err
	}
	if message.Host != p.id || p.id == "" {
		return reportWrongHost, errors.Errorf("report of host %q", message.Host)
	}
	p.list.Store(uint64(message.List))
	if fault, err := p.host.unpack(&message); err != nil {
		return fault, err
	}
	if err := checkLoadReport(message.Report); err != nil {
		return reportAbsurd, err
	}
	host := p.host
	host.mu.Lock()
	defer host.mu.Unlock()
	return reportRefused, host.loadExchange.Receive(host.network.Now(), p.id, message.Report)
}

// unpack decodes the packed servers of a message.
func (h *Host) unpack(message *loadMessage) (reportFault, error) {
	if len(message.Packed) == 0 {
		return 0, nil
	}
	if len(message.Report.Servers) > 0 {
		return reportAbsurd, errors.New("servers both packed and not")
	}
	h.serverList()
	servers, err := load.UnpackServers(message.Packed, h.serverLists.find(message.List))
	switch {
	case errors.Is(err, load.ErrUnknownList):
		return reportUnknownList, err
	case errors.Is(err, load.ErrOutOfRange):
		return reportAbsurd, err
	}
	message.Report.Servers = servers
	return reportMalformed, err
}

// checkLoadReport checks that a report is possible.
func checkLoadReport(report load.Report) error {
	for _, demand := range report.Demand {
		if reason := declaration.CheckName(string(demand.Service)); reason != "" {
			return errors.Errorf("service %s", reason)
		}
	}
	return report.Check()
}

// receiveReports receives the load reports of a follower until the stream ends. Other messages
// are ignored.
func (p *loadPeer) receiveReports(ctx context.Context, stream *Stream) {
	for {
		data, err := stream.Receive(ctx)
		if err != nil {
			return
		}
		var message followerMessage
		if err := cbor.Unmarshal(data, &message); err != nil {
			p.receive(data) // counts it as malformed or too long
			continue
		}
		if len(message.LoadReport) > 0 {
			p.receive(message.LoadReport)
		}
	}
}

// sendReports sends load reports to an upstream every feedInterval, until ctx or the stream ends.
func (p *loadPeer) sendReports(ctx context.Context, stream *Stream) {
	tick := time.NewTicker(feedInterval)
	defer tick.Stop()
	for {
		if report := p.report(); report != nil {
			data, err := cbor.Marshal(followerMessage{LoadReport: report})
			if err != nil {
				return
			}
			sendCtx, cancel := context.WithTimeout(ctx, feedTimeout)
			err = stream.Send(sendCtx, data)
			cancel()
			if err != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// upstreamLoads exchanges load reports with an upstream.
type upstreamLoads struct {
	peer loadPeer
	// stop ends the sending of reports, and sent is closed when it has ended. They are nil
	// before the first report of the upstream.
	stop context.CancelFunc
	sent chan struct{}
}

// received processes the load report in a message of the upstream, if there is one. From the first
// one on the host sends its own: an earlier version sends none, and would not read them.
func (u *upstreamLoads) received(ctx context.Context, stream *Stream, id fleet.HostID, report cbor.RawMessage) {
	if len(report) == 0 || id == "" {
		return
	}
	if u.stop != nil {
		u.peer.receive(report)
		return
	}
	u.peer.connect(id)
	u.peer.receive(report) // before the first own report, whose format depends on it
	sendCtx, stop := context.WithCancel(ctx)
	u.stop, u.sent = stop, make(chan struct{})
	go func() {
		defer close(u.sent)
		u.peer.sendReports(sendCtx, stream)
	}()
}

// close ends the exchange.
func (u *upstreamLoads) close() {
	if u.stop == nil {
		return
	}
	u.stop()
	<-u.sent
	u.peer.disconnect()
}

// rankedUpstream returns the ID of the host at an address if it ranks higher. Reports are
// exchanged only along the tree of feeds: among the hosts that use seeds, a chain of upstreams may
// lead back to the first one, and each would count the same requests repeatedly.
func (f *feedClient) rankedUpstream(address netip.AddrPort) fleet.HostID {
	hosts := f.host.snapshot.Load().catalogue.Hosts()
	if !f.chooser.IsHigherRanked(address, hosts) {
		return ""
	}
	index := slices.IndexFunc(hosts, func(peer fleet.Host) bool { return peer.PeerAddress == address })
	return hosts[index].ID
}
