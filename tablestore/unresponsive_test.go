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

// TestCallAfterUnresponsiveConnectionsSucceeds guards against reusing idle
// connections after all of them have become unresponsive: each call was sent on the
// next of up to eight such connections and timed out after two seconds.
func TestCallAfterUnresponsiveConnectionsSucceeds(t *testing.T) {
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
		const callers = 4
		for range callers {
			go func() { done <- scan() }()
		}
		for range callers {
			if err := <-done; err != nil {
				t.Fatalf("got error %v while all connections respond, want rows", err)
			}
		}
		network.Blackhole()
		if err := scan(); !errors.Is(err, tablestore.ErrNoResponse) {
			t.Errorf("got error %v on an unresponsive connection, want ErrNoResponse", err)
		}
		if err := scan(); err != nil {
			t.Errorf("got error %v after a failed call, want rows on a new connection", err)
		}
	})
}
