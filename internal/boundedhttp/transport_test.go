package boundedhttp_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/internal/boundedhttp"
)

// Guards against a bound that cuts a body which keeps to it, or lets a longer one pass for a whole one.
func TestBodiesAreBounded(t *testing.T) {
	const maxBytes = 100
	for _, size := range []int{0, 1, maxBytes - 1, maxBytes, maxBytes + 1, 100 * maxBytes} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		}))
		client := &http.Client{Transport: boundedhttp.NewTransport(&http.Transport{}, maxBytes)}
		resp, err := client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if got, want := errors.Is(err, boundedhttp.ErrTooLong), size > maxBytes; got != want || len(data) != min(size, maxBytes) {
			t.Errorf("%d bytes: got %d and error %v, want %d and the error: %v", size, len(data), err, min(size, maxBytes), want)
		}
		client.CloseIdleConnections()
		server.Close()
	}
}
