package relay

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/forwardwire"
)

// errAnswerStarted is returned for a second answer to the same request.
var errAnswerStarted = errors.New("relay: an answer has already been started")

// answerState states how much of an answer has been written to the caller.
type answerState uint8

const (
	// answerNotStarted means that nothing has been written.
	answerNotStarted answerState = iota
	// answerPartial means that the status line and perhaps part of the body have been written.
	answerPartial
	// answerComplete means that the whole answer has been written.
	answerComplete
)

// answerWriter writes the answer to one request of a caller.
//
// net/http completes the response when its handler returns, whatever has been written by then:
// a truncated stream would look complete, and an unwritten answer like an empty 200. So only
// complete, writeError and end mark an answer as ended, each where it is known to be complete,
// and ServeHTTP aborts every other one.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// stopping is true while the node stops; the caller's connection is then closed after the
	// answer.
	stopping *atomic.Bool
	state    answerState
	// forwarded reports whether the answer goes to another node, which is told in a header what the
	// answer is.
	forwarded bool
}

func newAnswerWriter(w http.ResponseWriter, stopping *atomic.Bool) *answerWriter {
	return &answerWriter{w: w, control: http.NewResponseController(w), stopping: stopping}
}

// started reports whether any part of the answer has been written.
func (a *answerWriter) started() bool { return a.state != answerNotStarted }

// ended reports whether the whole answer has been written.
func (a *answerWriter) ended() bool { return a.state == answerComplete }

// writeHead writes the status and headers of an upstream's answer.
func (a *answerWriter) writeHead(head *http.Response, upstream fleet.Incarnation) error {
	if a.started() {
		return errAnswerStarted
	}
	if err := a.copyHead(head, upstream); err != nil {
		return err
	}
	if isEvents(head) {
		// Another upstream may resume the stream and split the remaining text into other
		// events.
		a.w.Header().Del("Content-Length")
	}
	a.w.WriteHeader(head.StatusCode)
	return nil
}

func (a *answerWriter) copyHead(head *http.Response, upstream fleet.Incarnation) error {
	a.state = answerPartial
	out := a.w.Header()
	for name, values := range forwardedHeaders(head.Header) {
		out[name] = values
	}
	a.setConnectionClose()
	return a.describe(forwardwire.Answer{Outcome: forwardwire.Answered, Upstream: upstream})
}

// describe tells another node what the answer is; callers are told nothing.
func (a *answerWriter) describe(answer forwardwire.Answer) error {
	if !a.forwarded {
		return nil
	}
	return forwardwire.SetAnswer(a.w.Header(), answer)
}

// outcomeOf returns what became of a request that this node answers with a status itself.
func outcomeOf(status int) forwardwire.Outcome {
	if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		return forwardwire.Failed
	}
	return forwardwire.Refused
}

func (a *answerWriter) setConnectionClose() {
	if a.stopping.Load() {
		a.w.Header().Set("Connection", "close")
	}
}

// complete writes an upstream's answer with its whole body and marks it as ended.
func (a *answerWriter) complete(head *http.Response, upstream fleet.Incarnation, body []byte) error {
	if a.started() {
		return errAnswerStarted
	}
	if err := a.copyHead(head, upstream); err != nil {
		return err
	}
	if head.Request == nil || head.Request.Method != http.MethodHead {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.w.WriteHeader(head.StatusCode)
	if _, err := a.w.Write(body); err != nil {
		return err
	}
	a.end()
	return nil
}

// writeBody writes part of the body and flushes it to the caller.
func (a *answerWriter) writeBody(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	return a.control.Flush()
}

// end marks the answer as ended, with all of it written.
func (a *answerWriter) end() { a.state = answerComplete }

// writeError writes a JSON error answer of this node and marks it as ended. A positive
// retryAfter is sent as Retry-After header.
func (a *answerWriter) writeError(status int, reason string, retryAfter clock.Millis) error {
	if a.started() {
		return errAnswerStarted
	}
	a.state = answerPartial
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	if retryAfter > 0 {
		h.Set("Retry-After", formatSeconds(retryAfter))
	}
	body := []byte(`{"error":` + strconv.Quote(reason) + "}\n")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.setConnectionClose()
	if err := a.describe(forwardwire.Answer{Outcome: outcomeOf(status), Reason: reason, RetryAfter: retryAfter}); err != nil {
		return err
	}
	a.w.WriteHeader(status)
	if _, err := a.w.Write(body); err != nil {
		return err
	}
	a.end()
	return nil
}

// resetConnection closes the caller's connection with a TCP reset. An HTTP/1.0 answer without a
// length ends with its connection, and a regular close would make a truncated one look
// complete.
func (a *answerWriter) resetConnection() error {
	conn, _, err := a.control.Hijack()
	if err != nil {
		return err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		err = tcp.SetLinger(0)
	}
	return errors.CombineErrors(err, conn.Close())
}

func formatSeconds(d clock.Millis) string {
	const msPerSecond = 1000
	return strconv.FormatFloat(float64(d)/msPerSecond, 'f', -1, 64)
}
