package standin

import (
	"fmt"
	"net/http"
	"strconv"
)

// StreamClient is a caller that asks for a stream of a deployment.
type StreamClient struct {
	ID, Key, PromptID string
	// RemainingMS is how long it will wait, Prompt and Answer are sizes in tokens, and
	// LastEventID is the last event that it has; zero for none.
	RemainingMS, PromptTokens, AnswerTokens, LastEventID int
}

// sharedPromptPrefix is the part of all prompts that is the same.
const sharedPromptPrefix = "5c1e07a2:40"

// Header returns the head of its request.
func (c StreamClient) Header() http.Header {
	h := ClientHeader(c.ID, c.Key, c.RemainingMS)
	h.Set("Token-Count", fmt.Sprintf("%d,%d", c.PromptTokens, c.AnswerTokens))
	h.Set("Length-Hint", strconv.Itoa(c.AnswerTokens))
	h.Set("Prompt-Prefix", fmt.Sprintf("%s,%x:%d", sharedPromptPrefix, c.PromptID, c.PromptTokens))
	if c.LastEventID > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(c.LastEventID))
	}
	return h
}

// ClientHeader returns the head of a request as callers of the site send it.
// Remaining is how long the caller will wait, in ms.
func ClientHeader(id, key string, remaining int) http.Header {
	h := http.Header{}
	h.Set("Attempt-Id", id)
	h.Set("Authorization", "Bearer "+key)
	h.Set("Deadline-Remaining-Ms", strconv.Itoa(remaining))
	h.Set("Token-Count", "30,30")
	return h
}
