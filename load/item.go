// Package load replays recorded requests against entry nodes and compares every
// response with the expected one.
//
// The load is open loop: each request is sent at the time given in the trace, even if
// earlier requests are still in progress. Latencies are measured from that time.
package load

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// ErrTrace means that a trace cannot be opened or parsed.
var ErrTrace = errors.New("load: invalid trace")

// Item is one request of a trace.
type Item struct {
	// ArrivalMS is the time of arrival, in milliseconds from the start of the trace.
	ArrivalMS int64  `json:"at_ms"`
	Account   string `json:"account"`
	Route     string `json:"route"`
	// Prompt and MaxTokens are set for requests to a pipeline.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	// Service, Path and Body are set for requests to a plain service.
	Service string `json:"service,omitempty"`
	Path    string `json:"path,omitempty"`
	Body    string `json:"body,omitempty"`
	// Key is the idempotency key, with which the request is executed at most once.
	Key string `json:"key,omitempty"`
	// Ticket requests a ticket from a node and uses it as Key.
	Ticket bool `json:"ticket,omitempty"`
}

// ReadTrace reads a trace file with one JSON object per line.
func ReadTrace(path string) ([]Item, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrapf(ErrTrace, "cannot open %s", path)
	}
	defer func() { _ = f.Close() }()
	var items []Item
	scanner := bufio.NewScanner(f)
	for line := 1; scanner.Scan(); line++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var item Item
		if err := json.Unmarshal(scanner.Bytes(), &item); err != nil {
			return nil, errors.Wrapf(ErrTrace, "%s line %d: %v", path, line, err)
		}
		items = append(items, item)
	}
	return items, scanner.Err()
}
