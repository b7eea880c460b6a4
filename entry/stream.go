package entry

import (
	"encoding/json"
	"net/http"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// outcomeEvent is the last event of a stream. A stream that has none was cut
// and is not whole, however it looks.
type outcomeEvent struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason,omitempty"`
	Tokens       int    `json:"tokens"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// streamCompletion sends the answer as server-sent events, each as soon as it is there.
// A request that ends before its first token is answered without a stream. It
// returns whether there was a final word.
func (s *callerServer) streamCompletion(w http.ResponseWriter, r *http.Request, box *mailbox, model string) bool {
	events := &eventWriter{w: w, control: http.NewResponseController(w)}
	var texts []string
	for {
		var final *core.FinishCmd
		texts, final = box.take(texts)
		if final != nil && !events.started && len(texts) == 0 && final.Outcome != outcome.Done {
			s.writeResult(w, final)
			return true
		}
		for _, t := range texts {
			events.writeData(completionResponse{
				Object: "text_completion", Model: model, Choices: []completionChoice{{Text: t}},
			})
		}
		if final != nil {
			events.writeOutcome(final)
			return true
		}
		events.flush()
		select {
		case <-r.Context().Done():
			return false
		case <-box.updated:
		}
	}
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
}

func (e *eventWriter) setHeaders() {
	if e.started {
		return
	}
	e.started = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
}

func (e *eventWriter) writeData(v any) {
	e.setHeaders()
	raw, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = e.w.Write([]byte("data: "))
	_, _ = e.w.Write(raw)
	_, _ = e.w.Write([]byte("\n\n"))
}

// writeOutcome writes the outcome, and then the mark that clients of model
// servers know.
func (e *eventWriter) writeOutcome(f *core.FinishCmd) {
	t := outcomeEvent{Outcome: f.Outcome.String(), Tokens: f.Tokens, RetryAfterMS: int64(f.RetryAfter)}
	if f.Reason != core.ReasonNone {
		t.Reason = f.Reason.String()
	}
	e.setHeaders()
	_, _ = e.w.Write([]byte("event: outcome\n"))
	e.writeData(t)
	_, _ = e.w.Write([]byte("data: [DONE]\n\n"))
	e.flush()
}

func (e *eventWriter) flush() {
	if e.started {
		_ = e.control.Flush()
	}
}
