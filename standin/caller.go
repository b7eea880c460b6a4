package standin

import (
	"fmt"
	"net/http"
	"strconv"
)

// StreamCaller is a caller that asks for a stream of a deployment.
type StreamCaller struct {
	ID, Key, Subject string
	// RemainingMS is how long it will wait, Prompt and Answer are sizes in tokens, and
	// LastEvent is the last event that it has; zero for none.
	RemainingMS, Prompt, Answer, LastEvent int
}

// sharedPrompt is the part of all prompts that is the same.
const sharedPrompt = "5c1e07a2:40"

// Header returns the head of its request.
func (c StreamCaller) Header() http.Header {
	h := CallerHeader(c.ID, c.Key, c.RemainingMS)
	h.Set("Token-Count", fmt.Sprintf("%d,%d", c.Prompt, c.Answer))
	h.Set("Length-Hint", strconv.Itoa(c.Answer))
	h.Set("Prompt-Prefix", fmt.Sprintf("%s,%x:%d", sharedPrompt, c.Subject, c.Prompt))
	if c.LastEvent > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(c.LastEvent))
	}
	return h
}

// CallerHeader returns the head of a request as callers of the site send it.
// Remaining is how long the caller will wait, in ms.
func CallerHeader(id, key string, remaining int) http.Header {
	h := http.Header{}
	h.Set("Attempt-Id", id)
	h.Set("Authorization", "Bearer "+key)
	h.Set("Deadline-Remaining-Ms", strconv.Itoa(remaining))
	h.Set("Token-Count", "30,30")
	return h
}
