package registrystandin

import (
	"bytes"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// ErrNoAnswer is the error of calls through HTTPClient for which a server with a
// socket would close the connection.
var ErrNoAnswer = errors.New("connection closed without a response")

// HTTPClient returns a client that calls the server without a socket, so that tests
// can run in a synctest bubble.
func (s *Server) HTTPClient() *http.Client { return &http.Client{Transport: transport{s}} }

type transport struct{ server *Server }

// RoundTrip serves the request in its own goroutine, which continues when the
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
	responses := make(chan *http.Response, 1)
	go t.serve(request, responses)
	select {
	case response := <-responses:
		if response == nil {
			return nil, ErrNoAnswer
		}
		response.Request = r
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func (t transport) serve(r *http.Request, responses chan<- *http.Response) {
	w := &responseRecorder{header: http.Header{}, status: http.StatusOK}
	defer func() {
		if recovered := recover(); recovered != nil && recovered != http.ErrAbortHandler {
			panic(recovered)
		}
		responses <- w.response()
	}()
	t.server.ServeHTTP(w, r)
	w.completed = true
}

// responseRecorder is a ResponseWriter that keeps the response.
type responseRecorder struct {
	header    http.Header
	status    int
	body      bytes.Buffer
	completed bool
}

// Header returns the header of the response.
func (w *responseRecorder) Header() http.Header { return w.header }

// WriteHeader sets the status of the response.
func (w *responseRecorder) WriteHeader(status int) { w.status = status }

// Write appends to the body of the response.
func (w *responseRecorder) Write(data []byte) (int, error) { return w.body.Write(data) }

// response returns the response, or nil if the handler was aborted.
func (w *responseRecorder) response() *http.Response {
	if !w.completed {
		return nil
	}
	return &http.Response{
		Status:     http.StatusText(w.status),
		StatusCode: w.status,
		Header:     w.header,
		Body:       io.NopCloser(&w.body),
	}
}
