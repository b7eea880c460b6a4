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
	model        *core.Model
	header       Header
	transcript   *transcript
	expectations []Expectation
	now          clock.Millis
	// Print is called for each message and each command that comes of it.
	print func(at clock.Millis, kind string, v any)
}

// ReplayOption sets up a replay.
type ReplayOption func(*Replay)

// WithPrint has each message and each command shown.
func WithPrint(f func(at clock.Millis, kind string, v any)) ReplayOption {
	return func(r *Replay) { r.print = f }
}

// directive is what a line may hold that is not a message.
type directive struct {
	Include string          `json:"include"`
	Expect  json.RawMessage `json:"expect"`
	Node    json.RawMessage `json:"node"`
	Type    string          `json:"type"`
	// Ticks plays a TickMsg at every TickEvery until this time.
	Ticks clock.Millis `json:"ticks"`
}

// ReplayFile replays a recording and checks its stated outcomes, and the promises
// that hold for every recording. It returns all that does not hold, as
// ErrUnexpectedOutcome, or an error for a recording that cannot be read.
func ReplayFile(path string, opts ...ReplayOption) error {
	r := &Replay{transcript: newTranscript(), print: func(clock.Millis, string, any) {}}
	for _, opt := range opts {
		opt(r)
	}
	if err := r.replayFile(path, 0); err != nil {
		return err
	}
	for _, e := range r.expectations {
		r.transcript.checkExpectation(e, r.model)
	}
	return r.transcript.err()
}

func (r *Replay) replayFile(path string, depth int) error {
	if depth > maxIncludes {
		return errors.Wrapf(ErrInvalidRecording, "%s: includes itself", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrapf(ErrInvalidRecording, "cannot read %s", path)
	}
	scanner := newLineScanner(text)
	for n := 1; scanner.Scan(); n++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		if err := r.replayLine(scanner.Bytes(), filepath.Dir(path), depth); err != nil {
			return errors.Wrapf(err, "%s line %d", path, n)
		}
	}
	return scanner.Err()
}

func (r *Replay) replayLine(raw []byte, dir string, depth int) error {
	var s directive
	if err := json.Unmarshal(raw, &s); err != nil {
		return errors.Wrapf(ErrInvalidRecording, "%v", err)
	}
	switch {
	case s.Include != "":
		return r.replayFile(filepath.Join(dir, s.Include), depth+1)
	case s.Node != nil && s.Type == "":
		return r.startModel(raw)
	case s.Expect != nil:
		return r.addExpectation(s.Expect)
	case r.model == nil:
		return errors.Wrap(ErrInvalidRecording, "a message before the line that says how the node was made")
	case s.Ticks > 0:
		r.tickUntil(s.Ticks)
		return nil
	}
	at, msg, err := decode(raw)
	if err != nil {
		return err
	}
	r.apply(at, msg)
	return nil
}

func (r *Replay) startModel(raw []byte) error {
	r.header = Header{Policy: core.DefaultPolicy()}
	if err := json.Unmarshal(raw, &r.header); err != nil {
		return errors.Wrapf(ErrInvalidRecording, "%v", err)
	}
	if r.header.Dropped > 0 {
		return errors.Wrapf(ErrInvalidRecording, "its oldest %d messages are gone, so it does not replay", r.header.Dropped)
	}
	r.model = r.header.NewModel()
	return nil
}

func (r *Replay) addExpectation(raw []byte) error {
	var e Expectation
	if err := json.Unmarshal(raw, &e); err != nil {
		return errors.Wrapf(ErrInvalidRecording, "%v", err)
	}
	r.expectations = append(r.expectations, e)
	return nil
}

func (r *Replay) tickUntil(until clock.Millis) {
	for r.now+core.TickInterval <= until {
		r.apply(r.now+core.TickInterval, core.TickMsg{})
	}
}

func (r *Replay) apply(at clock.Millis, msg core.Msg) {
	r.now = at
	r.print(at, "msg", msg)
	r.transcript.observeMessage(msg)
	for _, cmd := range r.model.Update(at, msg) {
		r.print(at, "cmd", cmd)
		r.transcript.observeCommand(at, cmd)
	}
}
