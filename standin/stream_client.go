package standin

import (
	"fmt"
	"net/http"
	"strconv"
)

// StreamClient is a client that requests a stream of a deployment.
type StreamClient struct {
	// ID is the attempt's id, Key the API key of the client account. PromptID
	// identifies the part of the prompt that is not shared with other prompts.
	ID, Key, PromptID string
	// RemainingMS is the time until the client's deadline, in ms. PromptTokens and
	// AnswerTokens are sizes in tokens. LastEventID is the last received event when
	// a stream is resumed; zero means none.
	RemainingMS, PromptTokens, AnswerTokens, LastEventID int
}

// sharedPromptPrefix is the Prompt-Prefix entry of the part that all prompts
// share: its hash and its length in tokens.
const sharedPromptPrefix = "5c1e07a2:40"

// Header returns the headers of the client's request.
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

// ClientHeader returns the headers of a request to the stand-in site. remaining
// is the time until the client's deadline, in ms.
func ClientHeader(id, key string, remaining int) http.Header {
	h := http.Header{}
	h.Set("Attempt-Id", id)
	h.Set("Authorization", "Bearer "+key)
	h.Set("Deadline-Remaining-Ms", strconv.Itoa(remaining))
	h.Set("Token-Count", "30,30")
	return h
}
