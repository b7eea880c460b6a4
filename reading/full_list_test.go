package reading_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/reading"
)

// countedWriter counts the bytes of a response.
type countedWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w countedWriter) Write(data []byte) (int, error) {
	w.bytes.Add(int64(len(data)))
	return w.ResponseWriter.Write(data)
}

// During a store outage, two hundred followers requested the full list of three thousand
// upstreams twice a second. Checks that a follower that has the list gets a short response
// instead.
func TestUnchangedFullListIsNotResent(t *testing.T) {
	for _, upstreams := range []int{10, 300, 3000} {
		l := newLog(t)
		var list []fleet.Upstream
		for i := range upstreams {
			id := fleet.IncarnationByID(fleet.ID(fmt.Sprintf("u%04d", i)))
			list = append(list, fleet.Upstream{ID: id, Service: "writer", Address: "10.0.0.1:80", DataCentre: "a"})
		}
		l.SetFleet(at(10), list)
		var bytes atomic.Int64
		mux := http.NewServeMux()
		mux.Handle(reading.Handler(l, func(string) {}))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mux.ServeHTTP(countedWriter{w, &bytes}, r)
		}))
		t.Cleanup(server.Close)
		source := reading.NewSource(server.Client(), server.Listener.Addr().String(), "", testFirstRequestWait)
		request := func(want int) int64 {
			t.Helper()
			before := bytes.Load()
			got, err := source.AwaitUpstreams(context.Background(), at(0), longWait)
			if err != nil {
				t.Fatal(err)
			}
			if !got.Whole || len(got.Changes) != want {
				t.Fatalf("got full=%v with %d upstreams, want all %d", got.Whole, len(got.Changes), want)
			}
			return bytes.Load() - before
		}
		request(upstreams)
		if got, want := request(upstreams), int64(64); got > want {
			t.Errorf("%d upstreams: got %d bytes for an unchanged list, want at most %d", upstreams, got, want)
		}
		// An unchanged list that is read again from the store keeps its token.
		l.SetFleet(at(11), list)
		if got, want := request(upstreams), int64(64); got > want {
			t.Errorf("%d upstreams: got %d bytes for an unchanged list that was read again, want at most %d", upstreams, got, want)
		}
		l.AddFleet(at(12), []fleet.Change{{ID: list[0].ID, Gone: true}})
		request(upstreams - 1)
	}
}
