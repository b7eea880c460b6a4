package tablestore_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/internal/brokenanswer"
	"github.com/hoistjunction/hoistjunction/tablestore"
)

// callBroken makes a call to a store that gives a broken answer, and checks that it counts as none.
func callBroken(t *testing.T, store http.Handler, call func(c *tablestore.Client) error) {
	t.Helper()
	server := httptest.NewServer(store)
	defer server.Close()
	client := tablestore.NewClient(server.Listener.Addr().String(), tablestore.WithDialer(brokenanswer.Dial))
	defer client.Close()
	if err := call(client); !errors.Is(err, tablestore.ErrNoResponse) {
		t.Errorf("got error %v, want ErrNoResponse", err)
	}
}

func readObject(c *tablestore.Client) error {
	_, err := c.Object(context.Background(), "o")
	return err
}

// Guards against a write that counts as done although the store has reset the connection, while the request
// was being written.
func TestTableAnswerResetDuringUploadIsNone(t *testing.T) {
	const runs, uploadBytes = 20, 3 << 20
	object := bytes.Repeat([]byte("u"), uploadBytes)
	for range runs {
		callBroken(t, brokenanswer.Reset("HTTP/1.1 200 OK\r\n\r\npart"), func(c *tablestore.Client) error {
			return c.PutObject(context.Background(), "o", object)
		})
	}
}

// Guards against an answer with an invalid status that counts as an object of the store.
func TestTableAnswerWithInvalidStatusIsNone(t *testing.T) {
	for name, answer := range brokenanswer.InvalidStatuses("object", "X-Line: x") {
		t.Run(name, func(t *testing.T) { callBroken(t, answer, readObject) })
	}
}

// Guards against an answer in whose head the name of a field is none and that counts as an object of the store.
func TestTableAnswerWithInvalidFieldNameIsNone(t *testing.T) {
	for name, answer := range brokenanswer.InvalidFieldNames("object", "X-Line: x") {
		t.Run(name, func(t *testing.T) { callBroken(t, answer, readObject) })
	}
}
