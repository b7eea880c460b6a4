package standin

import (
	"net/http"
	"strconv"
)

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
