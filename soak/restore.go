package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/rattanthread/rattanthread/platformstandin"
)

// lostConfigurations is the number of configurations that a restoration loses. Hosts then know
// revisions that the store assigns again.
const lostConfigurations = 20

// restoreStore restores the store from older copies, up to three times. It has its own random
// numbers, so that a seed injects the same other faults with and without restorations.
func (s *Soak) restoreStore(site *platformstandin.Site) {
	random := rand.New(rand.NewPCG(s.Seed, 8))
	duration := func(minimum, maximum time.Duration) time.Duration {
		return minimum + time.Duration(random.Int64N(int64(maximum-minimum)))
	}
	for range random.IntN(4) {
		time.Sleep(duration(time.Second, s.Length/3))
		if time.Since(s.startedAt) > s.Length*3/4 {
			return
		}
		outage, age := duration(200*time.Millisecond, 2*time.Second), duration(time.Second, 9*time.Second)
		for range lostConfigurations {
			site.Reconfigure()
		}
		s.recordFault("store_restored away %v, copy of %v before", outage, age)
		site.RestoreStore(outage, age)
	}
}

// configurationTimeout is how long after the faults all hosts must have the latest
// configuration: the window in which a host has to be undisturbed, and the bound.
const configurationTimeout = 7 * time.Second

// checkConfigurations checks that all running hosts use a configuration that is written after
// all faults.
func (s *Soak) checkConfigurations(site *platformstandin.Site) {
	site.Reconfigure()
	deadline := time.Now().Add(configurationTimeout)
	for _, m := range s.machines {
		number, err := m.configurationNumber()
		for number != site.ConfigurationNumber() && time.Now().Before(deadline) {
			time.Sleep(10 * pollInterval)
			number, err = m.configurationNumber()
		}
		if number != site.ConfigurationNumber() && !site.ProcessOf(m.node).Exited() {
			site.ReportViolation(fmt.Sprintf("CONFIG: %s uses configuration %d, not %d (%v)", m.node.Name, number, site.ConfigurationNumber(), err))
		}
	}
}

// configurationNumber returns the number of the configuration in force on a host.
func (m *machine) configurationNumber() (int, error) {
	metrics, err := m.metrics()
	if err != nil {
		return 0, err
	}
	number := 0.0
	for line := range strings.Lines(metrics) {
		if n, _ := fmt.Sscanf(line, "rattanthread_configuration_number %g", &number); n == 1 {
			return int(number), nil
		}
	}
	return 0, nil
}

// metrics returns the metrics of the running host in the text format.
func (m *machine) metrics() (string, error) {
	response, err := m.client.Get(fmt.Sprintf("http://%s:%d/metrics", hostAddress(m.node.Index), metricsPort))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("metrics: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
