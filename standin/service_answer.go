package standin

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// serviceAnswer is what a plain service answers: enough to tell whether the
// answer is that to the caller's own request.
type serviceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Digest  uint64 `json:"digest"`
}

// ServiceAnswer returns the answer that a service gives to a call.
func ServiceAnswer(service, path string, body []byte) []byte {
	answer, err := json.Marshal(serviceAnswer{Service: service, Path: path, Digest: xxhash.Sum64(body)})
	if err != nil {
		return nil
	}
	return answer
}
