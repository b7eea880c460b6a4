package relay

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
)

// errAnswerStarted means that an answer cannot be given, since another one has begun.
var errAnswerStarted = errors.New("relay: an answer has begun")

// answerState is how far the answer to a caller is.
type answerState uint8

const (
	// answerNotStarted: nothing of it is out.
	answerNotStarted answerState = iota
	// answerPartial: some of it is out, and more is to come.
	answerPartial
	// answerComplete: all of it is out.
	answerComplete
)

// answerWriter writes one answer to a caller.
//
// net/http ends an answer in good order when its handler returns, whatever is out by
// then: part of a stream then looks like all of it, and nothing at all like an empty
// 200. So only whole, own and end make an answer an ended one, each where it is known
// to be whole, and ServeHTTP breaks off whatever has not ended.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// stopping tells that the node is stopping, so connections end with their
	// answers.
	stopping *atomic.Bool
	state    answerState
}

func newAnswerWriter(w http.ResponseWriter, closing *atomic.Bool) *answerWriter {
	return &answerWriter{w: w, control: http.NewResponseController(w), stopping: closing}
}

// started tells whether some of the answer is out.
func (a *answerWriter) started() bool { return a.state != answerNotStarted }

// ended tells whether all of the answer is out.
func (a *answerWriter) ended() bool { return a.state == answerComplete }

// writeHead writes the head of an upstream's answer.
func (a *answerWriter) writeHead(head *http.Response) error {
	if a.started() {
		return errAnswerStarted
	}
	a.copyHead(head)
	if isEvents(head) {
		// Another upstream may go on with it, and cut the rest into other events.
		a.w.Header().Del("Content-Length")
	}
	a.w.WriteHeader(head.StatusCode)
	return nil
}

func (a *answerWriter) copyHead(head *http.Response) {
	a.state = answerPartial
	out := a.w.Header()
	for name, values := range forwardedHeaders(head.Header) {
		out[name] = values
	}
	a.setConnectionClose()
}

func (a *answerWriter) setConnectionClose() {
	if a.stopping.Load() {
		a.w.Header().Set("Connection", "close")
	}
}

// complete writes an upstream's answer at once, and ends it.
func (a *answerWriter) complete(head *http.Response, body []byte) error {
	if a.started() {
		return errAnswerStarted
	}
	a.copyHead(head)
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

// writeBody writes some of the body and sends it off.
func (a *answerWriter) writeBody(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	return a.control.Flush()
}

// end makes an open answer a whole one.
func (a *answerWriter) end() { a.state = answerComplete }

// writeError writes an answer of the node's own, and ends it. Back tells when to come back.
func (a *answerWriter) writeError(status int, reason string, back clock.Millis) error {
	if a.started() {
		return errAnswerStarted
	}
	a.state = answerPartial
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	if back > 0 {
		h.Set("Retry-After", formatSeconds(back))
	}
	body := []byte(`{"error":` + strconv.Quote(reason) + "}\n")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.setConnectionClose()
	a.w.WriteHeader(status)
	if _, err := a.w.Write(body); err != nil {
		return err
	}
	a.end()
	return nil
}

// resetConnection closes the caller's connection so that its end is an error. An answer in
// HTTP/1.0 ends with its connection, and one that is closed in good order looks whole.
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

func formatSeconds(m clock.Millis) string {
	const msPerSecond = 1000
	return strconv.FormatFloat(float64(m)/msPerSecond, 'f', -1, 64)
}
