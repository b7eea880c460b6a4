package load

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/outcome"
)

const completeStream = "data: {\"choices\":[{\"text\":\"ho\"}]}\n\n" +
	"data: {\"choices\":[{\"text\":\"la\"}]}\n\n" +
	"event: outcome\ndata: {\"outcome\":\"done\",\"tokens\":2}\n\ndata: [DONE]\n\n"

// TestTruncatedStreamIsDetected truncates a stream after every byte. The stream is complete
// only with its outcome event and the number of tokens stated in that event.
func TestTruncatedStreamIsDetected(t *testing.T) {
	complete := strings.Index(completeStream, "}\n\ndata: [DONE]") + 1
	for length := range len(completeStream) + 1 {
		a, err := readStream(strings.NewReader(completeStream[:length]), time.Now())
		if length < complete && !errors.Is(err, ErrTruncated) {
			t.Fatalf("truncated at byte %d: got %v, want ErrTruncated", length, err)
		}
		if length >= complete && (err != nil || a.Outcome != outcome.Done) {
			t.Fatalf("truncated at byte %d: got %s (%v), want done", length, a.Outcome, err)
		}
	}
	missingToken := strings.Replace(completeStream, `"tokens":2`, `"tokens":3`, 1)
	if _, err := readStream(strings.NewReader(missingToken), time.Now()); !errors.Is(err, ErrTruncated) {
		t.Errorf("got %v for a stream with a missing token, want ErrTruncated", err)
	}
}
