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

// How status asks the entry hosts.
const (
	hostTimeout    = 2 * time.Second
	hostsAtOnce    = 32
	maxStatusBytes = 4 << 20
)

// Status is the command that asks every entry host what it has in force.
type Status struct {
	Environment
	platformFlag
	Hosts string
	JSON  bool
}

// Name returns the name of the command.
func (*Status) Name() string { return "status" }

// Synopsis describes the command in one line.
func (*Status) Synopsis() string { return "show what each entry host has in force" }

// Usage describes the command.
func (*Status) Usage() string {
	return `status [-platform URL] [-hosts ADDRESS,...] [-json]:
  Ask each entry host which revision it has in force and what it sees of its
  peers and of the backend servers. Names the stragglers: hosts that don't
  answer, are not ready, or have another revision than the latest. Exits with 1
  if there is one, or if no host is registered.

  The platform lists the hosts. While it can't be reached, give the hosts' admin
  addresses with -hosts; the latest revision is then the highest that a host has.

  Example: rattanthread status
           rattanthread status -hosts 127.30.1.1:9090,127.30.1.2:9090
`
}

// SetFlags defines the flags of the command.
func (c *Status) SetFlags(f *flag.FlagSet) {
	c.setFlag(f)
	f.StringVar(&c.Hosts, "hosts", "", "admin `addresses` of the hosts to ask, instead of the platform's list")
	f.BoolVar(&c.JSON, "json", false, "print JSON, for programs")
}

// Report is what status prints as JSON.
type Report struct {
	// Platform tells why the platform could not be asked; empty if it could.
	Platform   string          `json:"platform,omitempty"`
	History    fleet.HistoryID `json:"history"`
	Revision   fleet.Revision  `json:"revision"`
	Hosts      []HostReport    `json:"hosts"`
	Stragglers []string        `json:"stragglers"`
}

// HostReport is what status found out about one entry host.
type HostReport struct {
	Host  string             `json:"host"`
	Admin netip.AddrPort     `json:"admin"`
	State registry.HostState `json:"state,omitempty"`
	Error string             `json:"error,omitempty"`
	Lags  string             `json:"lags,omitempty"`
	// Status is what the host says; nil if it didn't answer.
	Status *status.Host `json:"status,omitempty"`
}

// Execute runs the command.
func (c *Status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return c.fail(badInput("want no arguments, have %d", f.NArg()))
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
	client := c.connect(c.address())
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
	group.SetLimit(hostsAtOnce)
	for i := range report.Hosts {
		group.Go(func() error {
			report.Hosts[i].ask(ctx)
			return nil
		})
	}
	_ = group.Wait()
	report.judge()
	return report, nil
}

// listHosts returns the hosts to ask.
func (c *Status) listHosts(ctx context.Context, client *registry.Client) ([]HostReport, error) {
	var hosts []HostReport
	if c.Hosts != "" {
		for text := range strings.SplitSeq(c.Hosts, ",") {
			address, err := netip.ParseAddrPort(strings.TrimSpace(text))
			if err != nil {
				return nil, badInput("-hosts: %q is not an address with a port", text)
			}
			hosts = append(hosts, HostReport{Host: address.String(), Admin: address})
		}
		return hosts, nil
	}
	objects, err := client.HostObjects(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "name the hosts with -hosts, because the platform does not list them")
	}
	for _, object := range objects {
		hosts = append(hosts, HostReport{Host: string(object.Host.ID), Admin: object.Admin, State: object.State})
	}
	return hosts, nil
}

// ask fills in what the host says of itself.
func (h *HostReport) ask(ctx context.Context) {
	if !h.Admin.IsValid() {
		h.Error = "has no admin address"
		return
	}
	answer, err := askHost(ctx, h.Admin)
	if err != nil {
		h.Error = err.Error()
		return
	}
	h.Status = &answer
	h.Host = string(answer.Host)
}

func askHost(ctx context.Context, admin netip.AddrPort) (status.Host, error) {
	var answer status.Host
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s", admin, status.Path)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return answer, errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, errors.Wrap(err, "ask host")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, errors.Errorf("ask host: %s", response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&answer); err != nil {
		return answer, errors.Wrap(err, "ask host: decode answer")
	}
	return answer, nil
}

// judge finds the stragglers.
func (r *Report) judge() {
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
		host.Lags = r.lag(*host)
		if host.Lags != "" {
			r.Stragglers = append(r.Stragglers, host.Host)
		}
	}
}

// lag tells why a host is a straggler, or "".
func (r *Report) lag(h HostReport) string {
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
		return fmt.Sprintf("%s\t-\t%s\t-\t-\t-\t-\t-\t%s: %s", h.Host, cmp.Or(h.State, "-"), h.Lags, h.Error)
	}
	s := h.Status
	peers := tally(s.Peers, func(p status.Peer) string { return p.State })
	servers := tally(s.Servers, func(v status.Server) string { return v.Phase })
	return fmt.Sprintf("%s\t%s\t%s\t%t\t%d\t%s\t%s\t%s\t%s", s.Host, s.DataCentre, cmp.Or(h.State, "-"), s.Ready, s.Revision,
		s.RevisionAge.Duration().Round(time.Second), peers, servers, h.Lags)
}

// tally counts values by state.
func tally[T any](values []T, state func(T) string) string {
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
