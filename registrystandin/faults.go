package registrystandin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Faults are the faults of the platform to inject. The zero value means none.
type Faults struct {
	// Down closes each connection without a response and applies no write.
	Down bool
	// Delay is the time that each call waits before it is applied, even if the
	// client gives up meanwhile.
	Delay time.Duration
	// LoseAnswers is the number of writes, from the next one on, that take effect but get
	// no response.
	LoseAnswers int
	// Lag is the age of the state that reads, lists and watches return.
	Lag time.Duration
	// ListLag is the age of the state that lists return, if greater than Lag.
	ListLag time.Duration
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// injectFaults delays a call, or aborts it without a response.
func (s *Server) injectFaults() {
	faults := s.Faults()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.Down {
		s.mu.Lock()
		s.counts.Dropped++
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

// serveFaults returns the faults (GET), sets those in the query (POST) or clears
// all of them (DELETE).
func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		if err := faults.setFromQuery(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
	case http.MethodDelete:
		faults = Faults{}
		s.SetFaults(faults)
	default:
		http.Error(w, "no such operation", http.StatusMethodNotAllowed)
		return
	}
	writeJSON(w, faults.toJSON())
}

func (f *Faults) setFromQuery(r *http.Request) error {
	for key, values := range r.URL.Query() {
		var err error
		switch value := values[len(values)-1]; key {
		case "down":
			f.Down, err = strconv.ParseBool(value)
		case "delay":
			f.Delay, err = time.ParseDuration(value)
		case "lose_answers":
			f.LoseAnswers, err = strconv.Atoi(value)
		case "lag":
			f.Lag, err = time.ParseDuration(value)
		case "list_lag":
			f.ListLag, err = time.ParseDuration(value)
		default:
			err = errors.New("no such fault: use down, delay, lose_answers, lag or list_lag")
		}
		if err != nil {
			return errors.Wrap(err, key)
		}
	}
	return nil
}

// faultsJSON is the JSON form of Faults, with durations as text.
type faultsJSON struct {
	Down        bool   `json:"down"`
	Delay       string `json:"delay"`
	LoseAnswers int    `json:"lose_answers"`
	Lag         string `json:"lag"`
	ListLag     string `json:"list_lag"`
}

func (f Faults) toJSON() faultsJSON {
	return faultsJSON{
		Down:        f.Down,
		Delay:       f.Delay.String(),
		LoseAnswers: f.LoseAnswers,
		Lag:         f.Lag.String(),
		ListLag:     f.ListLag.String(),
	}
}
