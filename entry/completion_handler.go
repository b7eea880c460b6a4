package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// defaultMaxTokens is the limit for a request without max_tokens.
const defaultMaxTokens = 64

// completionRequest is the JSON of a request to a pipeline. Prompt is used by
// /v1/completions, and Messages by /v1/chat/completions.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// serveCompletions serves a request to a pipeline, streamed or as one response. It
// reports whether the response is complete.
func (s *callerServer) serveCompletions(w http.ResponseWriter, r *http.Request) (complete bool) {
	msg, err := submitFromHeaders(r)
	if err != nil {
		s.writeBadRequest(w, http.StatusBadRequest, err)
		return true
	}
	body, err := s.readBody(w, r)
	if err != nil {
		s.writeBadRequest(w, bodyStatus(err), err)
		return true
	}
	req, err := parseCompletion(body)
	if err != nil {
		s.writeBadRequest(w, http.StatusBadRequest, err)
		return true
	}
	msg.Route, msg.Prompt, msg.MaxTokens = req.Model, req.Prompt, req.MaxTokens
	box, ok := s.submit(w, &msg)
	if !ok {
		return true
	}
	defer func() { s.closeMailbox(msg.Caller, complete) }()
	if req.Stream {
		return s.streamCompletion(w, r, box, req.Model)
	}
	return s.bufferCompletion(w, r, box, req.Model)
}

func (s *callerServer) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxBodyBytes))
}

func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// parseCompletion parses the JSON of a request to a pipeline. It joins the messages of
// a chat into one prompt.
func parseCompletion(body []byte) (completionRequest, error) {
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return req, errors.Wrapf(ErrBadRequest, "the body is not the JSON of a completion: %v", err)
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	if req.Prompt != "" || len(req.Messages) == 0 {
		return req, nil
	}
	var prompt strings.Builder
	for _, m := range req.Messages {
		prompt.WriteString(m.Role)
		prompt.WriteString(": ")
		prompt.WriteString(m.Content)
		prompt.WriteString("\n")
	}
	req.Prompt = prompt.String()
	return req, nil
}

// bufferCompletion waits for the result and writes the whole text as one response. It
// returns false if the caller disconnects before the result arrives.
func (s *callerServer) bufferCompletion(w http.ResponseWriter, r *http.Request, box *mailbox, model string) bool {
	var text strings.Builder
	var texts []string
	for {
		var result *core.FinishCmd
		texts, result = box.take(texts)
		for _, t := range texts {
			text.WriteString(t)
		}
		if result != nil {
			s.writeCompletion(w, result, text.String(), model)
			return true
		}
		select {
		case <-r.Context().Done():
			return false
		case <-box.updated:
		}
	}
}

func (s *callerServer) writeCompletion(w http.ResponseWriter, f *core.FinishCmd, text, model string) {
	if f.Outcome != outcome.Done {
		s.writeResult(w, f)
		return
	}
	setOutcomeHeaders(w.Header(), f)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completionResponse{
		Object:  "text_completion",
		Model:   model,
		Choices: []completionChoice{{Text: text, FinishReason: "stop"}},
		Usage:   &completionUsage{CompletionTokens: f.Tokens},
	})
}

// completionResponse is the JSON of a whole response, or of one event of a streamed
// response.
type completionResponse struct {
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}
