package entry_test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/entry"
)

var (
	metricPattern  = regexp.MustCompile(`(rattanthread_[a-z_]+)(?:\{([^}]*)\})?`)
	matcherPattern = regexp.MustCompile(`([a-z_]+)=~?"([^"]*)"`)
	groupPattern   = regexp.MustCompile(`by \(([^)]*)\)`)
)

// histogramSuffixes are the suffixes of the series that a histogram exports.
var histogramSuffixes = []string{"_bucket", "_sum", "_count"}

// TestAlertsNameWhatIsExported checks that alerts and the dashboard use only metrics and
// labels that entry hosts export.
func TestAlertsNameWhatIsExported(t *testing.T) {
	exported := entry.ExportedMetrics()
	for _, file := range []string{"../deploy/alerts.yml", "../deploy/dashboard.json"} {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(file)
			is.NoErr(err)
			text := strings.ReplaceAll(string(data), `\"`, `"`)
			used := metricPattern.FindAllStringSubmatch(text, -1)
			is.True(len(used) > 5)
			var labels []string
			for _, metric := range used {
				exportedLabels, ok := exported[baseName(metric[1])]
				if !ok {
					t.Errorf("%s is not exported", metric[1])
				}
				labels = append(labels, exportedLabels...)
				for _, matcher := range matcherPattern.FindAllStringSubmatch(metric[2], -1) {
					if !slices.Contains(exportedLabels, matcher[1]) {
						t.Errorf("%s has no label %s", metric[1], matcher[1])
					}
				}
			}
			for _, group := range groupPattern.FindAllStringSubmatch(text, -1) {
				for label := range strings.SplitSeq(group[1], ", ") {
					if !slices.Contains(append(labels, "instance", "le"), label) {
						t.Errorf("no metric has a label %s", label)
					}
				}
			}
		})
	}
}

func baseName(metric string) string {
	for _, part := range histogramSuffixes {
		if name, ok := strings.CutSuffix(metric, part); ok {
			return name
		}
	}
	return metric
}
