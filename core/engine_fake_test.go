package core_test

import (
	"github.com/hoistjunction/hoistjunction/core"
)

// fakeEngine runs one layer: it folds what it is given, and where, into a
// digest.
type fakeEngine struct {
	name        string
	incarnation int
	sessions    map[fakeSessionID]*fakeSession
}

type fakeSessionID struct {
	node    uint64
	request uint64
}

type fakeSession struct {
	generation   uint32
	nextPosition uint32
	digest       uint64
	last         *core.StepDoneMsg
}

func newFakeEngine(name string) *fakeEngine {
	return &fakeEngine{name: name, incarnation: 1, sessions: make(map[fakeSessionID]*fakeSession)}
}

// restart forgets everything, as a process that died and came back.
func (e *fakeEngine) restart() {
	e.incarnation++
	clear(e.sessions)
}

func fold(digest, input uint64, position uint32) uint64 {
	x := (digest ^ input) * 0x9e3779b97f4a7c15
	return x ^ x>>29 + uint64(position)
}

func (e *fakeEngine) execute(node uint64, s core.StepCmd) core.Msg {
	id := fakeSessionID{node: node, request: s.Request}
	session := e.sessions[id]
	fault := core.StepFailedMsg{Upstream: e.name, Request: s.Request, Generation: s.Generation, Position: s.Position}
	switch {
	case session != nil && session.generation > s.Generation:
		fault.Fault = core.StepFenced
		return fault
	case session == nil || session.generation < s.Generation:
		if s.Position != 0 {
			fault.Fault = core.StepGap
			return fault
		}
		session = &fakeSession{generation: s.Generation}
		e.sessions[id] = session
	}
	if session.last != nil && session.last.Position == s.Position {
		return session.last
	}
	if session.nextPosition != s.Position {
		fault.Fault = core.StepGap
		return fault
	}
	session.last = e.fold(session, s)
	return session.last
}

func (e *fakeEngine) fold(session *fakeSession, s core.StepCmd) *core.StepDoneMsg {
	inputs := s.Inputs
	if e.name[0] == 'a' {
		inputs = embedFake(s.Prompt, s.Tokens)
	}
	done := &core.StepDoneMsg{
		Upstream: e.name, Request: s.Request, Generation: s.Generation, Position: s.Position, Positions: len(inputs),
	}
	for _, in := range inputs {
		session.digest = fold(session.digest, in, session.nextPosition)
		session.nextPosition++
		done.Outputs = append(done.Outputs, session.digest)
	}
	if e.name[0] == 'b' {
		done.Outputs = nil
		done.Token = uint32(session.digest % 26)
		done.Text = string(rune('a' + done.Token))
	}
	return done
}

func embedFake(prompt string, tokens []uint32) []uint64 {
	var inputs []uint64
	for _, b := range []byte(prompt) {
		inputs = append(inputs, uint64(b))
	}
	for _, t := range tokens {
		inputs = append(inputs, uint64(t)+1000)
	}
	return inputs
}

// expectedAnswer works out the whole answer to a request in one piece.
func expectedAnswer(spec core.SubmitMsg) string {
	var a, b uint64
	position := uint32(0)
	inputs := embedFake(spec.Prompt, nil)
	text := ""
	for len(text) < spec.MaxTokens {
		for _, in := range inputs {
			a = fold(a, in, position)
			b = fold(b, a, position)
			position++
		}
		token := uint32(b % 26)
		text += string(rune('a' + token))
		inputs = embedFake("", []uint32{token})
	}
	return text
}
