// Package forwardwire encodes the headers with which relay nodes pass requests to each other.
package forwardwire

import (
	"encoding/base64"
	"net/http"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Names of the headers.
const (
	requestHeader = "Hoist-Forwarded-Request"
	answerHeader  = "Hoist-Forwarded-Answer"
)

const (
	// version is the format that this program reads and writes.
	version = 1
	// maxHops is the number of nodes that may pass a request on.
	maxHops = 1
	// maxHeaderBytes bounds an encoded message. Names of nodes and upstreams are under 100 bytes.
	maxHeaderBytes = 2 << 10
	// maxUpstreams bounds the number of upstreams that may execute a request.
	maxUpstreams = 1 << 10
	// maxRetryAfter bounds the advice of another node.
	maxRetryAfter clock.Millis = 60_000
)

// Errors of Decode functions.
var (
	ErrMissing   = errors.New("forwardwire: header is missing")
	ErrMalformed = errors.New("forwardwire: header is malformed")
	ErrVersion   = errors.New("forwardwire: unknown version")
	ErrTooFar    = errors.New("forwardwire: request was passed on too often")
)

// Request describes a forwarded request.
type Request struct {
	// From is the node that received the request from its client.
	From string
	// UpstreamsLeft is the number of upstreams that may still execute the request; 0 for as many
	// as its route allows.
	UpstreamsLeft int
	// Admitted reports that the sender has admitted the request for a client account and that an attempt
	// may have reached an upstream. Account is the name of that account.
	Admitted bool
	Account  string
}

// Answer describes the answer to a forwarded request.
type Answer struct {
	Outcome Outcome
	// Reason is why the node answers itself, and RetryAfter its advice to the client.
	Reason     string
	RetryAfter clock.Millis
	// Upstream is the upstream whose answer follows.
	Upstream fleet.Incarnation
}

// Outcome is what became of a forwarded request.
type Outcome uint8

const (
	// Answered means that an upstream's answer follows.
	Answered Outcome = iota + 1
	// Refused means that the request was not executed and will not be.
	Refused
	// Failed means that the request may have been executed.
	Failed
)

// IsForwarded reports whether the headers are those of a forwarded request.
func IsForwarded(h http.Header) bool { return len(h.Values(requestHeader)) > 0 }

// SetRequest sets the header of a forwarded request.
func SetRequest(h http.Header, r Request) error {
	msg := &wire.ForwardedRequest{Version: version, From: r.From, Hops: 1, UpstreamsLeft: uint32(max(r.UpstreamsLeft, 0))}
	if r.Admitted {
		msg.Admittance = &wire.Admittance{Account: r.Account}
	}
	return set(h, requestHeader, msg)
}

// TakeRequest reads and removes the header of a forwarded request.
func TakeRequest(h http.Header) (Request, error) {
	var msg wire.ForwardedRequest
	if err := take(h, requestHeader, &msg); err != nil {
		return Request{}, err
	}
	switch {
	case msg.GetVersion() != version:
		return Request{}, errors.Wrapf(ErrVersion, "version %d", msg.GetVersion())
	case msg.GetFrom() == "" || msg.GetUpstreamsLeft() > maxUpstreams:
		return Request{}, ErrMalformed
	case msg.GetHops() > maxHops:
		return Request{}, errors.Wrapf(ErrTooFar, "%d hops", msg.GetHops())
	}
	return Request{
		From: msg.GetFrom(), UpstreamsLeft: int(msg.GetUpstreamsLeft()),
		Admitted: msg.GetAdmittance() != nil, Account: msg.GetAdmittance().GetAccount(),
	}, nil
}

// SetAnswer sets the header of the answer to a forwarded request.
func SetAnswer(h http.Header, a Answer) error {
	id, born := fleetwire.IncarnationFields(a.Upstream)
	return set(h, answerHeader, &wire.ForwardedAnswer{
		Version: version, Outcome: wire.ForwardedAnswer_Outcome(a.Outcome), Reason: a.Reason, RetryAfterMs: int64(a.RetryAfter),
		Upstream: &wire.Incarnation{Id: id, Born: born},
	})
}

// TakeAnswer reads and removes the header of the answer to a forwarded request.
func TakeAnswer(h http.Header) (Answer, error) {
	var msg wire.ForwardedAnswer
	if err := take(h, answerHeader, &msg); err != nil {
		return Answer{}, err
	}
	a := Answer{
		Outcome: Outcome(msg.GetOutcome()), Reason: msg.GetReason(), RetryAfter: clock.Millis(msg.GetRetryAfterMs()),
		Upstream: fleetwire.IncarnationOf(msg.GetUpstream()),
	}
	switch {
	case msg.GetVersion() != version:
		return Answer{}, errors.Wrapf(ErrVersion, "version %d", msg.GetVersion())
	case msg.GetOutcome() < wire.ForwardedAnswer_OUTCOME_ANSWERED || msg.GetOutcome() > wire.ForwardedAnswer_OUTCOME_FAILED, a.RetryAfter < 0 || a.RetryAfter > maxRetryAfter:
		return Answer{}, ErrMalformed
	}
	return a, nil
}

func set(h http.Header, name string, msg proto.Message) error {
	data, err := proto.Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "forwardwire: encode header")
	}
	h.Set(name, base64.StdEncoding.EncodeToString(data))
	return nil
}

// take decodes the only value of a header and removes the header.
func take(h http.Header, name string, msg proto.Message) error {
	values := h.Values(name)
	h.Del(name)
	switch {
	case len(values) == 0:
		return ErrMissing
	case len(values) > 1 || len(values[0]) > maxHeaderBytes:
		return ErrMalformed
	}
	data, err := base64.StdEncoding.DecodeString(values[0])
	if err != nil {
		return errors.CombineErrors(ErrMalformed, err)
	}
	if err := proto.Unmarshal(data, msg); err != nil {
		return errors.CombineErrors(ErrMalformed, err)
	}
	return nil
}
