package frontend_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rattanthread/rattanthread/frontend"
)

// BenchmarkRoundTrip compares a direct net/http round trip with one through a minimal
// net/http proxy and through the front end, without and with a key.
func BenchmarkRoundTrip(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 1000)
	b.Run("direct", func(b *testing.B) {
		server := httptest.NewServer(respondWith("ok"))
		defer server.Close()
		roundTrips(b, server.URL, body, false)
	})
	b.Run("minimal proxy", func(b *testing.B) {
		server := httptest.NewServer(respondWith("ok"))
		defer server.Close()
		proxy := httptest.NewServer(minimalProxy(server.URL))
		defer proxy.Close()
		roundTrips(b, proxy.URL, body, false)
	})
	for _, keyed := range []bool{false, true} {
		b.Run(map[bool]string{false: "front end", true: "front end with key"}[keyed], func(b *testing.B) {
			f := newFixture(b, respondWith("ok"))
			roundTrips(b, f.url, body, keyed)
		})
	}
}

// minimalProxy forwards each request with an http.Client and copies the response.
func minimalProxy(target string) http.HandlerFunc {
	client := &http.Client{Transport: frontend.NewTransport()}
	return func(w http.ResponseWriter, r *http.Request) {
		outReq, _ := http.NewRequestWithContext(r.Context(), r.Method, target, r.Body)
		outReq.ContentLength = r.ContentLength
		resp, err := client.Do(outReq)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}
}

func roundTrips(b *testing.B, url string, body []byte, keyed bool) {
	b.ReportAllocs()
	for b.Loop() {
		r, _ := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
		r.Host = "orders.test"
		if keyed {
			r.Header.Set(frontend.HeaderKey, newKey())
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
	}
}
