package standin

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// serviceAnswer is the response body of a plain service. It identifies the
// request, so that a client can detect the answer to another request.
type serviceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Digest  uint64 `json:"digest"`
}

// ServiceAnswer returns the response body of a service for a call.
func ServiceAnswer(service, path string, body []byte) []byte {
	answer, err := json.Marshal(serviceAnswer{Service: service, Path: path, Digest: xxhash.Sum64(body)})
	if err != nil {
		return nil
	}
	return answer
}
