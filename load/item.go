// Package load sends recorded requests to entry nodes and checks every answer
// against the one worked out beforehand.
//
// Arrivals are open loop: a request is sent when the trace says so, however
// late the answers before it are, and its times count from that moment.
package load

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// ErrTrace means that a line of a trace cannot be read.
var ErrTrace = errors.New("load: bad trace")

// Item is one request of a trace.
type Item struct {
	// AtMS is when it arrives, in milliseconds from the start.
	AtMS    int64  `json:"at_ms"`
	Account string `json:"account"`
	Route   string `json:"route"`
	// Prompt and MaxTokens are for a pipeline.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	// Service, Path and Body are for a plain service.
	Service string `json:"service,omitempty"`
	Path    string `json:"path,omitempty"`
	Body    string `json:"body,omitempty"`
	// Key makes the request run at most once.
	Key string `json:"key,omitempty"`
	// Ticket asks for a ticket to use as the key.
	Ticket bool `json:"ticket,omitempty"`
}

// ReadTrace reads a trace, a JSON object on each line.
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
