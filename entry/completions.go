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

// defaultMaxTokens stands for a caller that does not say.
const defaultMaxTokens = 64

// completionRequest is the JSON of a request to a pipeline. Prompt is for
// /v1/completions, and Messages for /v1/chat/completions.
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

// serveCompletions serves a request to a pipeline, streamed or in one piece. It returns
// whether the answer has ended.
func (s *callerServer) serveCompletions(w http.ResponseWriter, r *http.Request) (ended bool) {
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
	defer func() { s.closeMailbox(msg.Caller, ended) }()
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

// parseCompletion reads the JSON of a request to a pipeline. The messages of
// a chat become one prompt.
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

// bufferCompletion waits for the whole answer. It returns whether there was a final word.
func (s *callerServer) bufferCompletion(w http.ResponseWriter, r *http.Request, box *mailbox, model string) bool {
	var text strings.Builder
	var texts []string
	for {
		var final *core.FinishCmd
		texts, final = box.take(texts)
		for _, t := range texts {
			text.WriteString(t)
		}
		if final != nil {
			s.writeCompletion(w, final, text.String(), model)
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

// completionResponse is the JSON of an answer, or of a piece of one.
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
