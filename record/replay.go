package record

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
)

// maxIncludes bounds how deep recordings include each other.
const maxIncludes = 8

// Replay is a recording that is being played to a model.
type Replay struct {
	model  *core.Model
	start  Start
	state  *transcript
	expect []Expectation
	now    clock.Millis
	// Print is called for each message and each command that comes of it.
	print func(at clock.Millis, kind string, v any)
}

// ReplayOption sets up a replay.
type ReplayOption func(*Replay)

// WithPrint has each message and each command shown.
func WithPrint(f func(at clock.Millis, kind string, v any)) ReplayOption {
	return func(r *Replay) { r.print = f }
}

// special is what a line may hold that is not a message.
type special struct {
	Include string          `json:"include"`
	Expect  json.RawMessage `json:"expect"`
	Node    json.RawMessage `json:"node"`
	Type    string          `json:"type"`
	// Ticks plays a TickMsg at every TickEvery until this time.
	Ticks clock.Millis `json:"ticks"`
}

// File replays a recording and checks its stated outcomes, and the promises
// that hold for every recording. It returns all that does not hold, as
// ErrOutcome, or an error for a recording that cannot be read.
func File(path string, opts ...ReplayOption) error {
	r := &Replay{state: newTranscript(), print: func(clock.Millis, string, any) {}}
	for _, opt := range opts {
		opt(r)
	}
	if err := r.file(path, 0); err != nil {
		return err
	}
	for _, e := range r.expect {
		r.state.check(e, r.model)
	}
	return r.state.err()
}

func (r *Replay) file(path string, depth int) error {
	if depth > maxIncludes {
		return errors.Wrapf(ErrRecording, "%s: includes itself", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrapf(ErrRecording, "cannot read %s", path)
	}
	scanner := lines(text)
	for n := 1; scanner.Scan(); n++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		if err := r.line(scanner.Bytes(), filepath.Dir(path), depth); err != nil {
			return errors.Wrapf(err, "%s line %d", path, n)
		}
	}
	return scanner.Err()
}

func (r *Replay) line(raw []byte, dir string, depth int) error {
	var s special
	if err := json.Unmarshal(raw, &s); err != nil {
		return errors.Wrapf(ErrRecording, "%v", err)
	}
	switch {
	case s.Include != "":
		return r.file(filepath.Join(dir, s.Include), depth+1)
	case s.Node != nil && s.Type == "":
		return r.begin(raw)
	case s.Expect != nil:
		return r.expectation(s.Expect)
	case r.model == nil:
		return errors.Wrap(ErrRecording, "a message before the line that says how the node was made")
	case s.Ticks > 0:
		r.tickUntil(s.Ticks)
		return nil
	}
	at, msg, err := decode(raw)
	if err != nil {
		return err
	}
	r.play(at, msg)
	return nil
}

func (r *Replay) begin(raw []byte) error {
	r.start = Start{Policy: core.DefaultPolicy()}
	if err := json.Unmarshal(raw, &r.start); err != nil {
		return errors.Wrapf(ErrRecording, "%v", err)
	}
	if r.start.Dropped > 0 {
		return errors.Wrapf(ErrRecording, "its oldest %d messages are gone, so it does not replay", r.start.Dropped)
	}
	r.model = r.start.Model()
	return nil
}

func (r *Replay) expectation(raw []byte) error {
	var e Expectation
	if err := json.Unmarshal(raw, &e); err != nil {
		return errors.Wrapf(ErrRecording, "%v", err)
	}
	r.expect = append(r.expect, e)
	return nil
}

func (r *Replay) tickUntil(until clock.Millis) {
	for r.now+core.TickInterval <= until {
		r.play(r.now+core.TickInterval, core.TickMsg{})
	}
}

func (r *Replay) play(at clock.Millis, msg core.Msg) {
	r.now = at
	r.print(at, "msg", msg)
	r.state.message(msg)
	for _, cmd := range r.model.Update(at, msg) {
		r.print(at, "cmd", cmd)
		r.state.command(at, cmd)
	}
}
