package registrystandin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Faults is what is wrong with the platform. The zero Faults is nothing.
type Faults struct {
	// Down closes each connection without an answer and applies nothing.
	Down bool
	// Delay holds each call back before it is applied, also when the caller has
	// given up meanwhile.
	Delay time.Duration
	// LoseAnswers is how many of the next writes take effect but get no answer.
	LoseAnswers int
	// Lag is how old the state is that reads and watches show.
	Lag time.Duration
	// ListLag is how old the state is that lists show, if more than Lag.
	ListLag time.Duration
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Faults returns the present faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// suffer makes a call slow, or ends it without an answer.
func (s *Server) suffer() {
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

// serveFaults shows the faults (GET), sets those that the query names (POST) or
// clears all (DELETE).
func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		if err := faults.set(r); err != nil {
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
	writeJSON(w, faults.texts())
}

func (f *Faults) set(r *http.Request) error {
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

// faultTexts is Faults with durations as people write them.
type faultTexts struct {
	Down        bool   `json:"down"`
	Delay       string `json:"delay"`
	LoseAnswers int    `json:"lose_answers"`
	Lag         string `json:"lag"`
	ListLag     string `json:"list_lag"`
}

func (f Faults) texts() faultTexts {
	return faultTexts{
		Down:        f.Down,
		Delay:       f.Delay.String(),
		LoseAnswers: f.LoseAnswers,
		Lag:         f.Lag.String(),
		ListLag:     f.ListLag.String(),
	}
}
