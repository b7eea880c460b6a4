package record_test

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/record"
)

// recordings returns the recordings with stated outcomes.
func recordings(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("got no recordings (%v), want some", err)
	}
	return files
}

func TestRecordingsComeOutAsStated(t *testing.T) {
	for _, file := range recordings(t) {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".jsonl"), func(t *testing.T) {
			if err := record.ReplayFile(file); err != nil {
				t.Errorf("got %v, want the stated outcomes", err)
			}
		})
	}
}

func TestReplayIsTheSameByteForByte(t *testing.T) {
	for _, file := range recordings(t) {
		first, second := transcriptOf(t, file), transcriptOf(t, file)
		if first != second {
			t.Errorf("%s: got two different transcripts, want one", file)
		}
	}
}

func transcriptOf(t *testing.T, file string) string {
	t.Helper()
	var b strings.Builder
	err := record.ReplayFile(file, record.WithPrint(func(_ clock.Millis, kind string, v any) {
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatalf("got %v, want JSON of %s", err, record.TypeName(v))
		}
		b.WriteString(kind + record.TypeName(v) + string(text))
	}))
	if err != nil {
		t.Fatalf("got %v, want a replay of %s", err, file)
	}
	return b.String()
}
