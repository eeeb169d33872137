package command

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/registry"
	"github.com/rattanthread/rattanthread/status"
)

// Limits of the requests for the status of entry hosts.
const (
	hostTimeout           = 2 * time.Second
	maxConcurrentRequests = 32
	maxStatusBytes        = 4 << 20
)

// Status is the command that shows the revision in force on each entry host.
type Status struct {
	Environment
	platformFlag
	Hosts string
	JSON  bool
}

// Name returns the name of the subcommand.
func (*Status) Name() string { return "status" }

// Synopsis returns a one-line description of the command.
func (*Status) Synopsis() string { return "show the revision in force on each entry host" }

// Usage returns the help text of the command.
func (*Status) Usage() string {
	return `status [-platform URL] [-hosts ADDRESS,...] [-json]:
  Show which revision each entry host has in force, and the states that it reports
  for its peers and the backend servers. Lists the stragglers: hosts that don't
  respond, are not ready, or don't have the latest revision. The exit status is 1
  if there is one, or if no host is registered.

  The platform provides the list of hosts. If it is unreachable, give the hosts'
  admin addresses with -hosts; the highest revision of these hosts then counts as
  the latest.

  Example: rattanthread status
           rattanthread status -hosts 127.30.1.1:9090,127.30.1.2:9090
`
}

// SetFlags defines the command's flags.
func (c *Status) SetFlags(f *flag.FlagSet) {
	c.setFlag(f)
	f.StringVar(&c.Hosts, "hosts", "", "admin `addresses` of the hosts, instead of the platform's list")
	f.BoolVar(&c.JSON, "json", false, "print the status as JSON")
}

// Report is the JSON output of the status command.
type Report struct {
	// Platform is the error of the request to the platform, empty if it succeeded.
	Platform   string          `json:"platform,omitempty"`
	History    fleet.HistoryID `json:"history"`
	Revision   fleet.Revision  `json:"revision"`
	Hosts      []HostReport    `json:"hosts"`
	Stragglers []string        `json:"stragglers"`
}

// HostReport is the part of a Report about one entry host.
type HostReport struct {
	Host  string             `json:"host"`
	Admin netip.AddrPort     `json:"admin"`
	State registry.HostState `json:"state,omitempty"`
	Error string             `json:"error,omitempty"`
	// LagReason is why the host is a straggler, empty if it is not.
	LagReason string `json:"lags,omitempty"`
	// Status is the status that the host returned, nil if it did not respond.
	Status *status.Host `json:"status,omitempty"`
}

// Execute runs the command.
func (c *Status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return c.fail(inputErrorf("want no arguments, have %d", f.NArg()))
	}
	report, err := c.collect(ctx)
	if err != nil {
		return c.fail(err)
	}
	if err := c.print(report); err != nil {
		return c.fail(errors.Wrap(err, "print status"))
	}
	if len(report.Stragglers) > 0 || len(report.Hosts) == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Status) collect(ctx context.Context) (Report, error) {
	var report Report
	client := c.connect(c.platformURL())
	head, err := client.Head(ctx)
	if err != nil {
		report.Platform = err.Error()
	}
	report.History, report.Revision = head.History, head.Revision
	report.Hosts, err = c.listHosts(ctx, client)
	if err != nil {
		return report, err
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i := range report.Hosts {
		group.Go(func() error {
			report.Hosts[i].fetchStatus(ctx)
			return nil
		})
	}
	_ = group.Wait()
	report.findStragglers()
	return report, nil
}

// listHosts returns the hosts whose status is to be shown.
func (c *Status) listHosts(ctx context.Context, client *registry.Client) ([]HostReport, error) {
	var hosts []HostReport
	if c.Hosts != "" {
		for text := range strings.SplitSeq(c.Hosts, ",") {
			address, err := netip.ParseAddrPort(strings.TrimSpace(text))
			if err != nil {
				return nil, inputErrorf("-hosts: %q is not an address with a port", text)
			}
			hosts = append(hosts, HostReport{Host: address.String(), Admin: address})
		}
		return hosts, nil
	}
	objects, err := client.HostObjects(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "the platform does not list the hosts; give their addresses with -hosts")
	}
	for _, object := range objects {
		hosts = append(hosts, HostReport{Host: string(object.Host.ID), Admin: object.Admin, State: object.State})
	}
	return hosts, nil
}

// fetchStatus requests the status of the host and stores it in h.
func (h *HostReport) fetchStatus(ctx context.Context) {
	if !h.Admin.IsValid() {
		h.Error = "no admin address is registered"
		return
	}
	host, err := requestStatus(ctx, h.Admin)
	if err != nil {
		h.Error = err.Error()
		return
	}
	h.Status = &host
	h.Host = string(host.Host)
}

func requestStatus(ctx context.Context, admin netip.AddrPort) (status.Host, error) {
	var host status.Host
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s", admin, status.Path)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return host, errors.Wrap(err, "create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return host, errors.Wrap(err, "request status")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return host, errors.Errorf("request status: %s", response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&host); err != nil {
		return host, errors.Wrap(err, "decode status")
	}
	return host, nil
}

// findStragglers sets the latest revision, if the platform did not report it, and
// the stragglers.
func (r *Report) findStragglers() {
	if r.Revision == 0 {
		for _, host := range r.Hosts {
			if host.Status != nil && host.Status.Revision > r.Revision {
				r.Revision, r.History = host.Status.Revision, host.Status.History
			}
		}
	}
	r.Stragglers = []string{}
	for i := range r.Hosts {
		host := &r.Hosts[i]
		host.LagReason = r.lagReason(*host)
		if host.LagReason != "" {
			r.Stragglers = append(r.Stragglers, host.Host)
		}
	}
}

// lagReason returns why a host is a straggler, or "" if it is not.
func (r *Report) lagReason(h HostReport) string {
	switch {
	case h.Status == nil:
		return "no answer"
	case h.Status.Revision == 0 && r.Revision > 0:
		return "no configuration"
	case h.Status.History != r.History:
		return "another history"
	case h.Status.Revision < r.Revision:
		return fmt.Sprintf("%d behind", r.Revision-h.Status.Revision)
	case !h.Status.Ready && h.State != registry.HostLeaving:
		return "not ready: " + h.Status.Reason
	default:
		return ""
	}
}

func (c *Status) print(report Report) error {
	if c.JSON {
		encoder := json.NewEncoder(c.out())
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	if report.Platform != "" {
		c.printf("platform: %s\n", report.Platform)
	}
	c.printf("latest revision: %d\n\n", report.Revision)
	if len(report.Hosts) == 0 {
		c.printf("no entry host is registered\n")
		return nil
	}
	w := tabwriter.NewWriter(c.out(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tDATA CENTRE\tSTATE\tREADY\tREVISION\tIN FORCE FOR\tPEERS\tSERVERS\tNOTE")
	for _, host := range report.Hosts {
		fmt.Fprintln(w, host.row())
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(report.Stragglers) > 0 {
		c.printf("\nstragglers: %s\n", strings.Join(report.Stragglers, ", "))
	}
	return nil
}

func (h *HostReport) row() string {
	if h.Status == nil {
		return fmt.Sprintf("%s\t-\t%s\t-\t-\t-\t-\t-\t%s: %s", h.Host, cmp.Or(h.State, "-"), h.LagReason, h.Error)
	}
	s := h.Status
	peers := countByState(s.Peers, func(p status.Peer) string { return p.State })
	servers := countByState(s.Servers, func(v status.Server) string { return v.Phase })
	return fmt.Sprintf("%s\t%s\t%s\t%t\t%d\t%s\t%s\t%s\t%s", s.Host, s.DataCentre, cmp.Or(h.State, "-"), s.Ready, s.Revision,
		s.RevisionAge.Duration().Round(time.Second), peers, servers, h.LagReason)
}

// countByState returns the number of values in each state, as text.
func countByState[T any](values []T, state func(T) string) string {
	counts := map[string]int{}
	for _, value := range values {
		counts[state(value)]++
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return cmp.Or(strings.Join(parts, ", "), "-")
}
