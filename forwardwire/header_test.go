package forwardwire

import (
	"encoding/base64"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/wire"
)

func TestHeadersAreReadAsWritten(t *testing.T) {
	h := http.Header{"Other": {"kept"}}
	request := Request{From: "node-1", UpstreamsLeft: 2, Admitted: true, Account: "clinic"}
	if err := SetRequest(h, request); err != nil {
		t.Fatal(err)
	}
	if !IsForwarded(h) {
		t.Error("got a client's request, want a forwarded one")
	}
	if got, err := TakeRequest(h); err != nil || got != request {
		t.Errorf("got %v, error %v, want %v", got, err, request)
	}
	answer := Answer{Outcome: Refused, Reason: "no_memory_left", RetryAfter: 300, Upstream: fleet.NewIncarnation("e1", 17)}
	if err := SetAnswer(h, answer); err != nil {
		t.Fatal(err)
	}
	if got, err := TakeAnswer(h); err != nil || got != answer {
		t.Errorf("got %v, error %v, want %v", got, err, answer)
	}
	if len(h) != 1 {
		t.Errorf("got headers %v, want none of ours", h)
	}
}

func encoded(t *testing.T, msg proto.Message) string {
	t.Helper()
	data, err := proto.Marshal(msg)
	if err != nil {
		t.Fatal(err)
	}
	return base64.StdEncoding.EncodeToString(data)
}

// Guards against another node's bad header that is taken for a good one.
func TestBadRequestHeaders(t *testing.T) {
	good := encoded(t, &wire.ForwardedRequest{Version: 1, From: "n", Hops: 1})
	tests := []struct {
		name   string
		values []string
		want   error
	}{
		{"missing", nil, ErrMissing},
		{"empty", []string{""}, ErrVersion},
		{"twice", []string{good, good}, ErrMalformed},
		{"not base64", []string{"?"}, ErrMalformed},
		{"not a message", []string{base64.StdEncoding.EncodeToString([]byte{0xff, 0xff})}, ErrMalformed},
		{"too long", []string{strings.Repeat("A", maxHeaderBytes+4)}, ErrMalformed},
		{"newer version", []string{encoded(t, &wire.ForwardedRequest{Version: 2, From: "n", Hops: 1})}, ErrVersion},
		{"no sender", []string{encoded(t, &wire.ForwardedRequest{Version: 1, Hops: 1})}, ErrMalformed},
		{"a hop too many", []string{encoded(t, &wire.ForwardedRequest{Version: 1, From: "n", Hops: 2})}, ErrTooFar},
		{"absurd number", []string{encoded(t, &wire.ForwardedRequest{Version: 1, From: "n", Hops: 1, UpstreamsLeft: 1 << 31})}, ErrMalformed},
	}
	for _, tt := range tests {
		h := http.Header{}
		for _, v := range tt.values {
			h.Add(requestHeader, v)
		}
		if _, err := TakeRequest(h); !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.want)
		}
	}
}

// Guards against the same in answers.
func TestBadAnswerHeaders(t *testing.T) {
	tests := []struct {
		name string
		msg  *wire.ForwardedAnswer
		want error
	}{
		{"newer version", &wire.ForwardedAnswer{Version: 2, Outcome: wire.ForwardedAnswer_OUTCOME_REFUSED}, ErrVersion},
		{"no outcome", &wire.ForwardedAnswer{Version: 1}, ErrMalformed},
		{"unknown outcome", &wire.ForwardedAnswer{Version: 1, Outcome: 9}, ErrMalformed},
		{"negative advice", &wire.ForwardedAnswer{Version: 1, Outcome: wire.ForwardedAnswer_OUTCOME_REFUSED, RetryAfterMs: -1}, ErrMalformed},
		{"absurd advice", &wire.ForwardedAnswer{Version: 1, Outcome: wire.ForwardedAnswer_OUTCOME_REFUSED, RetryAfterMs: 1 << 40}, ErrMalformed},
	}
	for _, tt := range tests {
		h := http.Header{}
		h.Set(answerHeader, encoded(t, tt.msg))
		if _, err := TakeAnswer(h); !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.want)
		}
	}
}
