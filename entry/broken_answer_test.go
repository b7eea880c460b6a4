package entry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/internal/brokenanswer"
	"github.com/hoistjunction/hoistjunction/logging"
)

// callBroken calls a plain service that gives a broken answer, and checks that the call fails.
func callBroken(t *testing.T, service http.Handler, body []byte) {
	t.Helper()
	server := httptest.NewServer(service)
	defer server.Close()
	c := newServiceCaller(logging.Nop(), func(core.Msg) {}, withServiceDialer(brokenanswer.Dial))
	defer c.close()
	cmd := &core.CallCmd{Request: 1, Attempt: 1, Address: server.Listener.Addr().String(), Path: "/confirm", Body: body, NoRepeat: true, Timeout: 5000}
	got, want := c.attempt(cmd), core.CallFailedMsg{Request: 1, Attempt: 1}
	if got != core.Msg(want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against a part of an answer that the caller of a plain service gets as the whole one, since the
// service has reset the connection while the request was being written.
func TestServiceAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	const runs, uploadBytes = 20, 3 << 20
	upload := bytes.Repeat([]byte("u"), uploadBytes)
	for range runs {
		callBroken(t, brokenanswer.Reset("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart of the body"), upload)
	}
}

// Guards against an answer with an invalid status: 000 reached the caller of a plain service as 200.
func TestServiceAnswerWithInvalidStatusIsNone(t *testing.T) {
	for name, answer := range brokenanswer.InvalidStatuses("body", "X-Line: x") {
		t.Run(name, func(t *testing.T) { callBroken(t, answer, []byte("{}")) })
	}
}

// Guards against an answer in whose head the name of a field is none: the caller of a plain service got its
// body, whose length that line might have named.
func TestServiceAnswerWithInvalidFieldNameIsNone(t *testing.T) {
	for name, answer := range brokenanswer.InvalidFieldNames("body", "X-Line: x") {
		t.Run(name, func(t *testing.T) { callBroken(t, answer, []byte("{}")) })
	}
}
