package platformstandin

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// impossibleAgePattern matches what no line in the log of a host contains: a negative age or duration,
// and the rejection of an impossible age, which no host of the current version sends.
var impossibleAgePattern = regexp.MustCompile(`\b(?:[a-z]+_)*(?:age|outage|unreachable)(?:_[a-z]+)*=-\S*|\bage_rejected\b`)

// agesRejectedMetric counts the impossible ages that a host has rejected.
const agesRejectedMetric = "rattanthread_ages_rejected_total"

// FindImpossibleAge returns the part of a line of a host's log that shows an impossible age, or the
// empty string.
func FindImpossibleAge(line string) string { return impossibleAgePattern.FindString(line) }

// FindImpossibleMetric returns the first line of a host's metrics, in the text format, that shows an
// impossible age: a negative number, which no metric of a host may have, or rejected ages. It returns the
// empty string if there is none.
func FindImpossibleMetric(metrics string) string {
	for line := range strings.Lines(metrics) {
		line = strings.TrimSpace(line)
		end := strings.LastIndexByte(line, ' ')
		if end < 0 || !strings.HasPrefix(line, "rattanthread_") {
			continue
		}
		value := line[end+1:]
		if strings.HasPrefix(value, "-") || strings.HasPrefix(line, agesRejectedMetric) && value != "0" {
			return line
		}
	}
	return ""
}

// HostLogger returns the logger of a host. A line with an impossible age is a violation, which is
// reported once.
func (s *Site) HostLogger(node *Node) hclog.Logger {
	logger := s.Logger
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	return ageCheckingLogger{Logger: logger, site: s, node: node, reported: new(atomic.Bool)}
}

// ageCheckingLogger checks the lines that hosts write with Info. Their other lines have no ages.
type ageCheckingLogger struct {
	hclog.Logger
	site     *Site
	node     *Node
	reported *atomic.Bool
}

// Named returns a logger with a name that checks the lines too.
func (l ageCheckingLogger) Named(name string) hclog.Logger {
	l.Logger = l.Logger.Named(name)
	return l
}

// Info checks and writes a line.
func (l ageCheckingLogger) Info(kind string, pairs ...any) {
	found := FindImpossibleAge(kind)
	for i := 0; i+1 < len(pairs) && found == ""; i += 2 {
		found = FindImpossibleAge(fmt.Sprintf("%v=%v", pairs[i], pairs[i+1]))
	}
	if found != "" && l.reported.CompareAndSwap(false, true) {
		l.site.ReportViolation("AGE: " + l.node.Name + " logged " + kind + ": " + found)
	}
	l.Logger.Info(kind, pairs...)
}

// CheckMetrics reports a violation if the metrics of a host, in the text format, show an impossible age.
func (s *Site) CheckMetrics(node *Node, metrics string) {
	if found := FindImpossibleMetric(metrics); found != "" {
		s.ReportViolation("AGE: " + node.Name + " exported " + found)
	}
}

// exposition returns the response of a handler to a request for metrics.
func exposition(handler http.Handler) string {
	request, err := http.NewRequest(http.MethodGet, "/metrics", http.NoBody)
	if err != nil {
		return ""
	}
	response := bodyWriter{header: make(http.Header)}
	handler.ServeHTTP(&response, request)
	return response.body.String()
}

// bodyWriter keeps the body of a response.
type bodyWriter struct {
	header http.Header
	body   bytes.Buffer
}

// Header returns the header of the response.
func (w *bodyWriter) Header() http.Header { return w.header }

// WriteHeader ignores the status.
func (*bodyWriter) WriteHeader(int) {}

// Write appends to the body.
func (w *bodyWriter) Write(b []byte) (int, error) { return w.body.Write(b) }
