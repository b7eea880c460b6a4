package record_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/record"
	"github.com/hoistjunction/hoistjunction/wire"
)

func TestRecorderKeepsTheNewest(t *testing.T) {
	r := record.NewRecorder(record.Header{Node: &wire.NodeRecord{Name: "n"}}, record.WithCapacity(3))
	for at := range clock.Millis(5) {
		r.Add(at, core.CancelMsg{Caller: uint64(at)})
	}
	lines, dropped, err := r.Lines()
	if err != nil || dropped != 2 {
		t.Fatalf("got %d dropped (%v), want 2", dropped, err)
	}
	if got := bytes.Count(lines, []byte("CancelMsg")); got != 3 || !strings.Contains(string(lines), `"caller":4`) {
		t.Errorf("got %d messages in %s, want the newest 3", got, lines)
	}
}

func TestRecorderBoundsWhatCallersSend(t *testing.T) {
	r := record.NewRecorder(record.Header{Node: &wire.NodeRecord{Name: "n"}})
	body := make([]byte, 1<<20)
	for range 40 {
		r.Add(1, core.SubmitMsg{Body: body})
	}
	if _, dropped, err := r.Lines(); err != nil || dropped < 20 {
		t.Errorf("got %d of 40 MB dropped (%v), want all but 16", dropped, err)
	}
}
