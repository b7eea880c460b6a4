package core_test

import (
	"fmt"
	"strings"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/once"
	"github.com/hoistjunction/hoistjunction/outcome"
	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/wire"
)

// world is a few models and fakes at their interfaces. Everything that is on
// its way is an event; the test chooses which happens next, and which is lost.
type world struct {
	now             clock.Millis
	nodes           []*fakeNode
	engines         map[string]*fakeEngine
	table           map[string]once.Claim
	storeDown       bool
	events          []event
	requests        []*fakeRequest
	executions      map[string]int
	callers         uint64
	violations      []string
	nextIncarnation uint64
}

// event is something on its way. Lost is what happens instead when it gets
// lost on the way; it is nil for what cannot be lost without anybody noticing.
type event struct {
	name      string
	onDeliver func()
	onLost    func()
}

// fakeNode is a model, and who its callers are.
type fakeNode struct {
	model    *core.Model
	self     *wire.NodeRecord
	frozen   bool
	heldMsgs []core.Msg
	callers  map[uint64]func(core.Cmd)
}

// fakeRequest is what a caller wants, over all its tries.
type fakeRequest struct {
	spec  core.SubmitMsg
	tries int
	// waiting is set while a try has no final word.
	waiting bool
	// currentTry tells a try from those that the caller has given up.
	currentTry int
	texts      string
	final      outcome.Outcome
}

func newWorld(nodes int) *world {
	w := &world{
		engines: make(map[string]*fakeEngine), table: make(map[string]once.Claim), executions: make(map[string]int), nextIncarnation: 100,
	}
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		w.engines[name] = newFakeEngine(name)
	}
	for i := range nodes {
		w.nodes = append(w.nodes, w.newNode(i))
	}
	w.announceNodes()
	return w
}

func (w *world) newNode(i int) *fakeNode {
	w.nextIncarnation++
	self := &wire.NodeRecord{
		Name: fmt.Sprintf("n%d", i), Incarnation: w.nextIncarnation, DataCentre: fmt.Sprintf("dc%d", i),
		Address: fmt.Sprintf("127.0.0.%d:1", i+1), Beat: 1, StartedMs: int64(w.nextIncarnation),
	}
	m := core.New(core.WithNode(self), core.WithSeed(w.nextIncarnation), core.WithSecret([]byte("s")), core.WithAnswerBytes(1))
	n := &fakeNode{model: m, self: self, callers: make(map[uint64]func(core.Cmd))}
	w.update(n, core.ChangesMsg{Records: []*wire.ChangeRecord{worldConfig()}})
	w.update(n, core.ListMsg{Upstreams: w.listing()})
	return n
}

// announceNodes tells every node of every other, as the platform's table would.
func (w *world) announceNodes() {
	var records []*wire.NodeRecord
	for _, n := range w.nodes {
		records = append(records, n.model.Self())
	}
	for _, n := range w.nodes {
		w.deliver(n, core.NodesMsg{Nodes: records})
	}
}

func worldConfig() *wire.ChangeRecord {
	hash := core.HashKey("clinic-key")
	return &wire.ChangeRecord{Version: 1, ChangeId: "first", Changes: []*wire.Change{
		{Edit: &wire.Change_PutPipeline{PutPipeline: &wire.Pipeline{Name: "p", Layers: 2, Stages: []*wire.Stage{
			{Pool: "a", FirstLayer: 0, LastLayer: 0}, {Pool: "b", FirstLayer: 1, LastLayer: 1},
		}}}},
		{Edit: &wire.Change_PutRoute{PutRoute: &wire.Route{Name: "notices", Pipeline: "p", FirstTokenMs: 1200, TokenMs: 60, MaxTokens: 8}}},
		{Edit: &wire.Change_PutRoute{PutRoute: &wire.Route{Name: "orders", Service: "desk", FirstTokenMs: 1200}}},
		{Edit: &wire.Change_PutAccount{PutAccount: &wire.ClientAccount{Name: "clinic", KeyHash: hash[:], Weight: 1}}},
	}}
}

func (w *world) listing() []pool.Listing {
	var list []pool.Listing
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		e := w.engines[name]
		list = append(list, pool.Listing{Name: name, Group: name[:1], Incarnation: fmt.Sprint(e.incarnation), Address: "127.0.0.1:9"})
	}
	for _, name := range []string{"d1", "d2"} {
		list = append(list, pool.Listing{Name: name, Group: "desk", Incarnation: "1", Address: "127.0.0.1:9"})
	}
	return list
}

func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// deliver gives a node a message, or keeps it until the node is thawed.
func (w *world) deliver(n *fakeNode, msg core.Msg) {
	if n.frozen {
		n.heldMsgs = append(n.heldMsgs, msg)
		return
	}
	w.update(n, msg)
}

func (w *world) update(n *fakeNode, msg core.Msg) {
	for _, cmd := range n.model.Update(w.now, msg) {
		w.execute(n, cmd)
	}
}

// alive reports whether a node is still one of the running ones.
func (w *world) alive(n *fakeNode) bool {
	for _, other := range w.nodes {
		if other == n {
			return true
		}
	}
	return false
}

// reply puts a message to a node on its way. A dead node hears nothing.
func (w *world) reply(n *fakeNode, name string, msg core.Msg, lost core.Msg) {
	e := event{name: name, onDeliver: func() {
		if w.alive(n) {
			w.deliver(n, msg)
		}
	}}
	if lost != nil {
		e.onLost = func() {
			if w.alive(n) {
				w.deliver(n, lost)
			}
		}
	}
	w.events = append(w.events, e)
}

func (w *world) send(name string, do, lost func()) {
	w.events = append(w.events, event{name: name, onDeliver: do, onLost: lost})
}

func (w *world) execute(n *fakeNode, cmd core.Cmd) {
	switch cmd := cmd.(type) {
	case *core.StepCmd:
		step := *cmd
		w.send("step", func() { w.step(n, step) }, func() {
			w.reply(n, "step not sent", core.StepFailedMsg{
				Upstream: step.Upstream, Request: step.Request, Generation: step.Generation, Position: step.Position,
			}, nil)
		})
	case *core.CallCmd:
		call := *cmd
		w.send("call", func() { w.call(n, call) }, func() {
			w.reply(n, "call not sent", core.CallFailedMsg{Request: call.Request, Attempt: call.Attempt, NotSent: true}, nil)
		})
	case *core.ClaimsCmd:
		batch := *cmd
		w.send("claims", func() { w.claims(n, batch) }, func() {
			w.reply(n, "claims not sent", core.ClaimsFailedMsg{Batch: batch.Batch}, nil)
		})
	case *core.RelayCmd:
		relay := *cmd
		w.send("relay", func() { w.relay(n, relay) }, func() {
			w.reply(n, "relay not sent", core.RelayFailedMsg{Request: relay.Request, NotSent: true}, nil)
		})
	case *core.HandoverCmd:
		handover := *cmd
		w.send("handover", func() { w.handOver(n, handover) }, func() {
			w.reply(n, "handover not sent", core.HandedOverMsg{}, nil)
		})
	case *core.ExitCmd:
		w.replace(n)
	case *core.EmitCmd:
		for _, caller := range cmd.Callers {
			if f := n.callers[caller]; f != nil {
				f(&core.EmitCmd{Texts: append([]string(nil), cmd.Texts...)})
			}
		}
	case *core.FinishCmd:
		if f := n.callers[cmd.Caller]; f != nil {
			delete(n.callers, cmd.Caller)
			f(cmd)
		}
	}
}

// step runs a step at an engine. The engine of another incarnation does not
// know the session, and says that it expects another position.
func (w *world) step(n *fakeNode, s core.StepCmd) {
	e := w.engines[s.Upstream]
	w.reply(n, "step answer", e.execute(n.self.GetIncarnation(), s), nil)
}

// call runs a call at the plain service.
func (w *world) call(n *fakeNode, c core.CallCmd) {
	if c.Key != "" {
		w.executions[c.Key]++
		if w.executions[c.Key] > 1 {
			w.addViolation("key %s has run %d times", c.Key, w.executions[c.Key])
		}
	}
	w.reply(n, "call answer",
		core.CallDoneMsg{Request: c.Request, Attempt: c.Attempt, Status: 200, Body: []byte(c.Path)},
		core.CallFailedMsg{Request: c.Request, Attempt: c.Attempt})
}

// claims writes claims into the table: the first for a key stands.
func (w *world) claims(n *fakeNode, batch core.ClaimsCmd) {
	failed := core.ClaimsFailedMsg{Batch: batch.Batch}
	if w.storeDown {
		w.reply(n, "claims refused", failed, nil)
		return
	}
	answer := core.ClaimsMsg{Batch: batch.Batch}
	for _, c := range batch.Claims {
		if _, taken := w.table[c.Key]; !taken {
			w.table[c.Key] = c.Claim
		}
		answer.Claims = append(answer.Claims, core.KeyClaim{Key: c.Key, Claim: w.table[c.Key]})
	}
	w.reply(n, "claims answer", answer, failed)
}

// relay hands a request to the owner, if that incarnation still runs.
func (w *world) relay(from *fakeNode, r core.RelayCmd) {
	for _, owner := range w.nodes {
		if owner.self.GetAddress() != r.Address {
			continue
		}
		w.callers++
		spec := r.Spec
		spec.Caller, spec.Relayed, spec.Account, spec.Claim = w.callers, true, r.Account, r.Owner
		owner.callers[spec.Caller] = func(cmd core.Cmd) { w.relayed(from, r.Request, cmd) }
		w.deliver(owner, spec)
		return
	}
	w.reply(from, "relay refused", core.RelayFailedMsg{Request: r.Request, NotSent: true}, nil)
}

// handOver gives keys to whoever now has the address they were sent to.
func (w *world) handOver(from *fakeNode, h core.HandoverCmd) {
	for _, to := range w.nodes {
		if to.self.GetAddress() != h.Address {
			continue
		}
		msg := core.HandoverMsg{To: h.To, Ledgers: h.Ledgers}
		w.deliver(to, msg)
		w.reply(from, "handover answer", core.HandedOverMsg{Done: to.model.HoldsLedgers(msg)}, core.HandedOverMsg{})
	}
}

// replace puts a new incarnation in the place of a node.
func (w *world) replace(n *fakeNode) {
	for i, other := range w.nodes {
		if other == n {
			w.nodes[i] = w.newNode(i)
		}
	}
	w.announceNodes()
}

func (w *world) relayed(from *fakeNode, request uint64, cmd core.Cmd) {
	if !w.alive(from) {
		return
	}
	switch cmd := cmd.(type) {
	case *core.EmitCmd:
		// The pieces of one relay travel on one stream, in order.
		w.deliver(from, core.RelayTokensMsg{Request: request, Texts: cmd.Texts})
	case *core.FinishCmd:
		w.reply(from, "relay answer", core.RelayDoneMsg{Request: request, Finish: *cmd}, core.RelayFailedMsg{Request: request})
	}
}

// submit sends a try of a request to a node.
func (w *world) submit(r *fakeRequest, n *fakeNode) {
	w.callers++
	r.tries++
	r.currentTry++
	r.waiting = true
	r.texts = ""
	spec := r.spec
	spec.Caller = w.callers
	spec.FirstTry = r.tries == 1
	serial := r.currentTry
	n.callers[spec.Caller] = func(cmd core.Cmd) {
		if r.currentTry == serial {
			w.checkOutput(r, cmd)
		}
	}
	w.deliver(n, spec)
}

// checkOutput checks what a caller is told.
func (w *world) checkOutput(r *fakeRequest, cmd core.Cmd) {
	switch cmd := cmd.(type) {
	case *core.EmitCmd:
		r.texts += strings.Join(cmd.Texts, "")
		if want := expectedAnswer(r.spec); !strings.HasPrefix(want, r.texts) {
			w.addViolation("got text %q, want a beginning of %q", r.texts, want)
		}
	case *core.FinishCmd:
		r.waiting = false
		r.final = cmd.Outcome
		w.final(r, cmd)
	}
}

func (w *world) final(r *fakeRequest, cmd *core.FinishCmd) {
	if cmd.Outcome == outcome.Done {
		w.checkWholeAnswer(r, cmd)
	}
	if cmd.Outcome != outcome.NotExecuted {
		return
	}
	if r.spec.Key != "" && w.executions[r.spec.Key] > 0 {
		w.addViolation("key %s was told not run (%s) and has run", r.spec.Key, cmd.Reason)
	}
	if cmd.RetryAfter <= 0 {
		w.addViolation("not run (%s) without a time to come back", cmd.Reason)
	}
}

// checkWholeAnswer checks that an answer is all of the right one.
func (w *world) checkWholeAnswer(r *fakeRequest, cmd *core.FinishCmd) {
	got, want := string(cmd.Body), r.spec.Path
	if r.spec.Prompt != "" {
		got, want = r.texts, expectedAnswer(r.spec)
	}
	if got != want {
		w.addViolation("got answer %q, want %q", got, want)
	}
}
