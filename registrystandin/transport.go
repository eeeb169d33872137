package registrystandin

import (
	"bytes"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// ErrNoAnswer is what a client of HTTPClient sees where a socket would be closed.
var ErrNoAnswer = errors.New("connection closed without an answer")

// HTTPClient returns a client whose calls reach the server without a socket, so
// that tests can run in a synctest bubble.
func (s *Server) HTTPClient() *http.Client { return &http.Client{Transport: transport{s}} }

type transport struct{ server *Server }

// RoundTrip serves the request in its own goroutine, which goes on when the
// client gives up, as the platform would.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	var body []byte
	if r.Body != nil {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, errors.Wrap(err, "read request")
		}
		body = data
	}
	request := r.Clone(r.Context())
	request.Body = io.NopCloser(bytes.NewReader(body))
	answer := make(chan *http.Response, 1)
	go t.serve(request, answer)
	select {
	case response := <-answer:
		if response == nil {
			return nil, ErrNoAnswer
		}
		response.Request = r
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func (t transport) serve(r *http.Request, answer chan<- *http.Response) {
	w := &recorder{header: http.Header{}, status: http.StatusOK}
	defer func() {
		if fault := recover(); fault != nil && fault != http.ErrAbortHandler {
			panic(fault)
		}
		answer <- w.response()
	}()
	t.server.ServeHTTP(w, r)
	w.done = true
}

// recorder is a ResponseWriter that keeps the answer.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
	done   bool
}

// Header returns the header of the answer.
func (w *recorder) Header() http.Header { return w.header }

// WriteHeader sets the status of the answer.
func (w *recorder) WriteHeader(status int) { w.status = status }

// Write adds to the body of the answer.
func (w *recorder) Write(data []byte) (int, error) { return w.body.Write(data) }

// response returns the answer, or nil when the handler was aborted.
func (w *recorder) response() *http.Response {
	if !w.done {
		return nil
	}
	return &http.Response{
		Status:     http.StatusText(w.status),
		StatusCode: w.status,
		Header:     w.header,
		Body:       io.NopCloser(&w.body),
	}
}
