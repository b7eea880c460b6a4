package tablestore_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/internal/pipenet"
	"github.com/hoistjunction/hoistjunction/tablestore"
)

// The kept connections to the platform went silent for good. Call after call went out
// on the next of them and was lost, two seconds each, with up to eight to go.
func TestCallsAfterSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(w, "[]")
		})}
		listener := network.Listen("platform:80")
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		client := tablestore.NewClient("platform:80", tablestore.WithDialer(network.DialContext))
		defer client.Close()
		scan := func() error {
			_, err := client.Scan(context.Background(), "a", "b")
			return err
		}
		done := make(chan error)
		const atOnce = 4
		for range atOnce {
			go func() { done <- scan() }()
		}
		for range atOnce {
			if err := <-done; err != nil {
				t.Fatalf("got %v before any connection went silent, want rows", err)
			}
		}
		network.Blackhole()
		if err := scan(); !errors.Is(err, tablestore.ErrNoResponse) {
			t.Errorf("got %v on a silent connection, want no answer", err)
		}
		if err := scan(); err != nil {
			t.Errorf("got %v after a call without an answer, want rows", err)
		}
	})
}
