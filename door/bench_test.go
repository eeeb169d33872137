package door_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rattanthread/rattanthread/door"
)

// BenchmarkRoundTrip compares a bare net/http round trip with one through the
// door, without and with a key, and with a plain second hop by net/http.
func BenchmarkRoundTrip(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 1000)
	b.Run("bare", func(b *testing.B) {
		server := httptest.NewServer(answer("ok"))
		defer server.Close()
		roundTrips(b, server.URL, body, false)
	})
	b.Run("two hops", func(b *testing.B) {
		server := httptest.NewServer(answer("ok"))
		defer server.Close()
		hop := httptest.NewServer(plainHop(server.URL))
		defer hop.Close()
		roundTrips(b, hop.URL, body, false)
	})
	for _, keyed := range []bool{false, true} {
		b.Run(map[bool]string{false: "door", true: "door with key"}[keyed], func(b *testing.B) {
			s := newSite(b, answer("ok"))
			roundTrips(b, s.url, body, keyed)
		})
	}
}

// plainHop forwards each request by http.Client and copies the answer.
func plainHop(target string) http.HandlerFunc {
	client := &http.Client{Transport: door.NewTransport()}
	return func(w http.ResponseWriter, r *http.Request) {
		out, _ := http.NewRequestWithContext(r.Context(), r.Method, target, r.Body)
		out.ContentLength = r.ContentLength
		resp, err := client.Do(out)
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
			r.Header.Set(door.HeaderKey, newKey())
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
