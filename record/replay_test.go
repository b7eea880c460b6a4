package record_test

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/record"
)

// recordings returns the files in testdata; each contains its expected outcomes.
func recordings(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("got no recordings (error %v), want some", err)
	}
	return files
}

func TestRecordingsHaveExpectedOutcomes(t *testing.T) {
	for _, file := range recordings(t) {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".jsonl"), func(t *testing.T) {
			if err := record.ReplayFile(file); err != nil {
				t.Errorf("got %v, want the expected outcomes", err)
			}
		})
	}
}

func TestReplayIsDeterministic(t *testing.T) {
	for _, file := range recordings(t) {
		first, second := transcriptOf(t, file), transcriptOf(t, file)
		if first != second {
			t.Errorf("%s: got two different transcripts, want equal ones", file)
		}
	}
}

func transcriptOf(t *testing.T, file string) string {
	t.Helper()
	var b strings.Builder
	err := record.ReplayFile(file, record.WithPrint(func(_ clock.Millis, kind string, v any) {
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatalf("got error %v, want %s encoded as JSON", err, record.TypeName(v))
		}
		b.WriteString(kind + record.TypeName(v) + string(text))
	}))
	if err != nil {
		t.Fatalf("got error %v, want a replay of %s", err, file)
	}
	return b.String()
}
