package relay

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/hoistjunction/hoistjunction/clock"
)

// answerWriter writes one answer to a caller.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// closing tells that the node is stopping, so connections end with their
	// answers.
	closing *atomic.Bool
	started bool
}

func newAnswerWriter(w http.ResponseWriter, closing *atomic.Bool) *answerWriter {
	return &answerWriter{w: w, control: http.NewResponseController(w), closing: closing}
}

// begun tells whether some of the answer is out.
func (a *answerWriter) begun() bool { return a.started }

// begin writes the head of an upstream's answer.
func (a *answerWriter) begin(head *http.Response) error {
	if a.started {
		return nil
	}
	a.copyHead(head)
	a.w.WriteHeader(head.StatusCode)
	return nil
}

func (a *answerWriter) copyHead(head *http.Response) {
	a.started = true
	out := a.w.Header()
	for name, values := range passedOn(head.Header) {
		out[name] = values
	}
	a.markClosing()
}

func (a *answerWriter) markClosing() {
	if a.closing.Load() {
		a.w.Header().Set("Connection", "close")
	}
}

// whole writes an upstream's answer at once.
func (a *answerWriter) whole(head *http.Response, body []byte) error {
	a.copyHead(head)
	if head.Request == nil || head.Request.Method != http.MethodHead {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.w.WriteHeader(head.StatusCode)
	_, err := a.w.Write(body)
	return err
}

// piece writes some of the body and sends it off.
func (a *answerWriter) piece(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	return a.control.Flush()
}

// own writes an answer of the node's own. Back tells when to come back.
func (a *answerWriter) own(status int, reason string, back clock.Millis) {
	a.started = true
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	if back > 0 {
		h.Set("Retry-After", formatSeconds(back))
	}
	body := []byte(`{"error":` + strconv.Quote(reason) + "}\n")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.markClosing()
	a.w.WriteHeader(status)
	// A caller that does not take its refusal has left; the session ends
	// either way.
	_, _ = a.w.Write(body)
}

func formatSeconds(m clock.Millis) string {
	const msPerSecond = 1000
	return strconv.FormatFloat(float64(m)/msPerSecond, 'f', -1, 64)
}
