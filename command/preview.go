package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/entry"
)

const (
	// previewTimeout bounds the request for a preview.
	previewTimeout = 2 * time.Second
	// maxPreviewBytes bounds the response.
	maxPreviewBytes = 1 << 20
)

// Preview is the command that shows where a new flow would go now.
type Preview struct {
	Environment
	Host, To, From string
	JSON           bool
}

// Name returns the name of the subcommand.
func (*Preview) Name() string { return "preview" }

// Synopsis returns a one-line description of the command.
func (*Preview) Synopsis() string {
	return "show where an entry host would send a new flow now, and why, without sending it"
}

// Usage returns the help text of the command.
func (*Preview) Usage() string {
	return `preview -host ADDRESS -to ADDRESS [-from ADDRESS] [-json]:
  Ask a running entry host on the users' platform, at its metrics address, how it would
  handle the first packet of a new flow from a caller to the address of a route, and
  print the servers that it compares. Nothing is sent to a server, and nothing changes
  at the host. The choice depends on the caller's address and port.

  The exit status is 0 if the flow would be forwarded, 1 if not or if the host can't be
  reached, and 2 if the arguments are invalid.

  Example: rattanthread preview -host 10.1.0.10:9102 -to 198.18.0.1:8443 -from 100.64.0.7:40001

`
}

// SetFlags defines the command's flags.
func (c *Preview) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.Host, "host", "", "metrics `address` of the entry host")
	f.StringVar(&c.To, "to", "", "`address` and port of the route")
	f.StringVar(&c.From, "from", "192.0.2.1:1024", "`address` and port of the caller")
	f.BoolVar(&c.JSON, "json", false, "print the preview as JSON")
}

// Execute runs the command.
func (c *Preview) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return c.fail(inputErrorf("want no arguments, have %d", f.NArg()))
	}
	for name, address := range map[string]string{"host": c.Host, "to": c.To, "from": c.From} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return c.fail(inputErrorf("-%s: %q is not an address and port", name, address))
		}
	}
	preview, err := c.fetch(ctx)
	if err != nil {
		return c.fail(err)
	}
	if err := c.print(preview); err != nil {
		return c.fail(errors.Wrap(err, "print preview"))
	}
	if preview.Server == "" || preview.Action != "forward" {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Preview) fetch(ctx context.Context) (entry.FlowPreview, error) {
	var preview entry.FlowPreview
	ctx, cancel := context.WithTimeout(ctx, previewTimeout)
	defer cancel()
	query := url.Values{entry.PreviewTo: {c.To}, entry.PreviewFrom: {c.From}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Host+entry.PreviewPath+"?"+query.Encode(), nil)
	if err != nil {
		return preview, errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return preview, errors.Wrapf(err, "ask host %s", c.Host)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPreviewBytes))
	if err != nil {
		return preview, errors.Wrapf(err, "read response of host %s", c.Host)
	}
	if response.StatusCode != http.StatusOK {
		return preview, errors.Errorf("host %s: %s: %s", c.Host, response.Status, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, &preview); err != nil {
		return preview, errors.Wrapf(err, "decode response of host %s", c.Host)
	}
	return preview, nil
}

func (c *Preview) print(p entry.FlowPreview) error {
	if c.JSON {
		encoder := json.NewEncoder(c.out())
		encoder.SetIndent("", "  ")
		return encoder.Encode(p)
	}
	w := tabwriter.NewWriter(c.out(), 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "host\t%s\tcatalogue %d, servers confirmed %v ms ago, configuration %v ms ago\n", p.Host, p.Catalogue, p.AgeMS, p.ConfigurationAge)
	fmt.Fprintf(w, "action\t%s\t%s\n", p.Action, p.Reason)
	if p.Service != "" {
		fmt.Fprintf(w, "route\t%s\tpriority %d, %.2f of its new flows admitted%s\n", p.Route, p.Priority, p.Admitted, admittedBy(p))
		fmt.Fprintf(w, "service\t%s\t%.2f of its new flows spill over%s\n", p.Service, p.Spillover, destinations(p))
	}
	if err := w.Flush(); err != nil || len(p.Candidates) == 0 {
		return err
	}
	fmt.Fprintln(w, "\n\tserver\tdata centre\tspeed\tin flight\tlimit\texpected latency\tpenalties")
	for _, candidate := range p.Candidates {
		chosen, load := "", "unknown\t\t\t"
		if candidate.Server == p.Server {
			chosen = "*"
		}
		if candidate.Known {
			load = fmt.Sprintf("%.2f\t%.0f\t%.1f\t%.2f", candidate.Speed, candidate.InFlight, candidate.Limit, candidate.ExpectedLatency)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", chosen, candidate.Server, candidate.DataCentre, load, strings.Join(candidate.Penalties, " "))
	}
	return w.Flush()
}

// admittedBy names the data centre whose fraction is applied. A host of an earlier version does not
// state it.
func admittedBy(p entry.FlowPreview) string {
	if p.AdmittedBy == "" {
		return ""
	}
	return " by data centre " + string(p.AdmittedBy)
}

// destinations returns the data centres that the flow spills over to, if any.
func destinations(p entry.FlowPreview) string {
	if len(p.Destinations) == 0 {
		return ", not this one"
	}
	names := make([]string, len(p.Destinations))
	for i, dataCentre := range p.Destinations {
		names[i] = string(dataCentre)
	}
	return ", this one to " + strings.Join(names, " or ")
}
