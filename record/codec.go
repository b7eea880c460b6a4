package record

import (
	"bufio"
	"bytes"
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
)

// ErrInvalidRecording means that a line of a recording cannot be read.
var ErrInvalidRecording = errors.New("record: bad line")

// maxLine bounds a line of a recording, in bytes.
const maxLine = 16 << 20

// messageTypes are the types that a recording may hold, by name.
var messageTypes = typesByName(
	core.TickMsg{}, core.SubmitMsg{}, core.CancelMsg{}, core.TicketsMsg{}, &core.StepDoneMsg{}, core.StepFailedMsg{},
	core.UpstreamDownMsg{}, core.CallDoneMsg{}, core.CallFailedMsg{}, core.ClaimsMsg{}, core.ClaimsFailedMsg{},
	core.RelayTokensMsg{}, core.RelayDoneMsg{}, core.RelayFailedMsg{}, core.ListMsg{}, core.HeadMsg{},
	core.ChangesMsg{}, core.FetchFailedMsg{}, core.NodesMsg{}, core.HeartbeatMsg{}, core.ProposeMsg{},
	core.CommitMsg{}, core.MarkLeavingMsg{}, core.DrainMsg{}, core.HandoverMsg{}, core.HandedOverMsg{},
)

func typesByName(samples ...core.Msg) map[string]reflect.Type {
	m := make(map[string]reflect.Type, len(samples))
	for _, s := range samples {
		m[TypeName(s)] = reflect.TypeOf(s)
	}
	return m
}

// TypeName returns the name of a message's or command's type.
func TypeName(v any) string {
	t := reflect.TypeOf(v)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t.Name()
}

// line is a message as it is written down.
type line struct {
	At   clock.Millis    `json:"at"`
	Type string          `json:"type"`
	Msg  json.RawMessage `json:"msg"`
}

func encode(start Header, entries []entry) ([]byte, error) {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	if err := enc.Encode(start); err != nil {
		return nil, errors.Wrap(err, "record")
	}
	for _, e := range entries {
		raw, err := json.Marshal(e.msg)
		if err != nil {
			return nil, errors.Wrap(err, "record")
		}
		if err := enc.Encode(line{At: e.at, Type: TypeName(e.msg), Msg: raw}); err != nil {
			return nil, errors.Wrap(err, "record")
		}
	}
	return out.Bytes(), nil
}

// decode reads one message.
func decode(raw []byte) (clock.Millis, core.Msg, error) {
	var l line
	if err := json.Unmarshal(raw, &l); err != nil {
		return 0, nil, errors.Wrapf(ErrInvalidRecording, "%v", err)
	}
	t, ok := messageTypes[l.Type]
	if !ok {
		return 0, nil, errors.Wrapf(ErrInvalidRecording, "no message %q", l.Type)
	}
	pointer := t.Kind() == reflect.Pointer
	if pointer {
		t = t.Elem()
	}
	v := reflect.New(t)
	if err := json.Unmarshal(l.Msg, v.Interface()); err != nil {
		return 0, nil, errors.Wrapf(ErrInvalidRecording, "%s: %v", l.Type, err)
	}
	if pointer {
		return l.At, v.Interface(), nil
	}
	return l.At, v.Elem().Interface(), nil
}

func newLineScanner(text []byte) *bufio.Scanner {
	s := bufio.NewScanner(bytes.NewReader(text))
	s.Buffer(nil, maxLine)
	return s
}
