package registrystandin_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/registrystandin"
)

// call sends a request and returns the status, ETag and body of the response, or
// status 0 and the error text if the call fails.
func call(t *testing.T, client *http.Client, method, url, header, value string) (int, string, string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(value))
	is.NoErr(err)
	if name, condition, ok := strings.Cut(header, ": "); ok {
		request.Header.Set(name, condition)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, response.Header.Get("ETag"), string(body)
}

func TestConditionalWrites(t *testing.T) {
	steps := []struct {
		method, path, header, value string
		status                      int
		etag                        string
	}{
		{"GET", "/v1/objects/a", "", "", 404, ""},
		{"PUT", "/v1/objects/a", "If-Match: \"1\"", "x", 412, `"0"`},
		{"PUT", "/v1/objects/a", "If-None-Match: *", "x", 204, `"1"`},
		{"PUT", "/v1/objects/a", "If-None-Match: *", "y", 412, `"1"`},
		{"PUT", "/v1/objects/b", "", "y", 204, `"2"`},
		{"PUT", "/v1/objects/a", "If-Match: \"1\"", "z", 204, `"3"`},
		{"PUT", "/v1/objects/a", "If-Match: \"1\"", "w", 412, `"3"`},
		{"GET", "/v1/objects/a", "", "", 200, `"3"`},
		{"GET", "/v1/objects/a?after=1&wait=1s", "", "", 200, `"3"`},
		{"GET", "/v1/objects/a?after=1&wait=x", "", "", 400, ""},
		{"DELETE", "/v1/objects/a", "If-Match: \"1\"", "", 412, `"3"`},
		{"DELETE", "/v1/objects/a", "If-Match: \"3\"", "", 204, `"4"`},
		{"GET", "/v1/objects/a", "", "", 404, ""},
		{"PUT", "/v1/objects/c", "", strings.Repeat("c", 1<<20+1), 413, ""},
		{"PUT", "/v1/objects/c?lease=soon", "", "c", 400, ""},
		{"POST", "/v1/objects/c", "", "c", 405, ""},
		{"POST", "/faults?lag=old", "", "", 400, ""},
		{"POST", "/faults?unknown=1", "", "", 400, ""},
		{"GET", "/elsewhere", "", "", 404, ""},
	}
	server := httptest.NewServer(&registrystandin.Server{})
	defer server.Close()
	for _, step := range steps {
		status, etag, body := call(t, server.Client(), step.method, server.URL+step.path, step.header, step.value)
		if status != step.status || etag != step.etag {
			t.Fatalf("%s %s: %d %s %s, want %d %s", step.method, step.path, status, etag, body, step.status, step.etag)
		}
	}
}

// TestFaultsOverHTTP checks the endpoints that set faults and return counts.
func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(&registrystandin.Server{})
	defer server.Close()
	// net/http would retry a failed read on a reused connection.
	client, root := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, server.URL
	call(t, client, "POST", root+"/faults?lose_answers=1", "", "")
	status, _, _ := call(t, client, "PUT", root+"/v1/objects/a", "", "x")
	is.Equal(status, 0) // no response
	status, _, body := call(t, client, "GET", root+"/v1/objects/a", "", "")
	is.Equal(status, 200)
	is.Equal(body, "x") // the write took effect
	call(t, client, "POST", root+"/faults?down=true", "", "")
	status, _, _ = call(t, client, "GET", root+"/v1/objects/a", "", "")
	is.Equal(status, 0)
	call(t, client, "DELETE", root+"/faults", "", "")
	status, _, _ = call(t, client, "GET", root+"/v1/objects/a", "", "")
	is.Equal(status, 200)
	_, _, body = call(t, client, "GET", root+"/counts", "", "")
	var counts registrystandin.Counts
	is.NoErr(json.Unmarshal([]byte(body), &counts))
	is.Equal(counts, registrystandin.Counts{Reads: 3, Writes: 1, Applied: 1, Dropped: 1, LostAnswers: 1})
	call(t, client, "POST", root+"/reset", "", "")
	status, _, _ = call(t, client, "GET", root+"/v1/objects/a", "", "")
	is.Equal(status, 404)
}

func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var server registrystandin.Server
		client := server.HTTPClient()
		call := func(method, path string) *http.Response {
			request, err := http.NewRequestWithContext(t.Context(), method, "http://platform.test"+path, strings.NewReader("value"))
			is.NoErr(err)
			response, err := client.Do(request)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			return response
		}
		is.Equal(call(http.MethodPut, "/v1/objects/kept").Header.Get("Store-Era"), "1")
		time.Sleep(2 * time.Second)
		is.Equal(call(http.MethodPut, "/v1/objects/lost").Header.Get("ETag"), `"2"`)
		is.Equal(call(http.MethodPost, "/restore?age=-1s").StatusCode, http.StatusBadRequest)
		is.Equal(call(http.MethodPost, "/restore?age=1s").StatusCode, http.StatusNoContent)
		is.Equal(call(http.MethodGet, "/v1/objects/kept").StatusCode, http.StatusOK)
		is.Equal(call(http.MethodGet, "/v1/objects/lost").StatusCode, http.StatusNotFound)
		again := call(http.MethodPut, "/v1/objects/again")
		is.Equal(again.Header.Get("ETag"), `"2"`)
		is.Equal(again.Header.Get("Store-Era"), "2")
	})
}

func TestLagAndLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var server registrystandin.Server
		client, root := server.HTTPClient(), "http://platform.test/v1/objects"
		call(t, client, "PUT", root+"/hosts/a?lease=30s", "", "old")
		time.Sleep(10 * time.Second)
		call(t, client, "PUT", root+"/hosts/a?lease=30s", "", "new")
		server.SetFaults(registrystandin.Faults{ListLag: 5 * time.Second})
		_, _, body := call(t, client, "GET", root+"?prefix=hosts/", "", "")
		is.True(strings.Contains(body, "b2xk")) // base64 of "old"
		_, _, body = call(t, client, "GET", root+"/hosts/a", "", "")
		is.Equal(body, "new")
		server.SetFaults(registrystandin.Faults{Lag: 5 * time.Second})
		_, _, body = call(t, client, "GET", root+"/hosts/a", "", "")
		is.Equal(body, "old")
		start := time.Now()
		status, _, _ := call(t, client, "GET", root+"/hosts/a?after=1&wait=20s", "", "")
		is.Equal(status, 200)
		is.Equal(time.Since(start), 5*time.Second) // the watch also lags
		time.Sleep(25 * time.Second)
		status, _, _ = call(t, client, "GET", root+"/hosts/a", "", "")
		is.Equal(status, 404) // the lease has expired
	})
}
