package dispatch_test

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/forwarding"
	"github.com/hoistjunction/hoistjunction/limit"
)

const (
	driverLayers    = 8
	driverUpstreams = 8
	driverRounding  = 1e-6

	driverTick clock.Millis = 100
	// driverRetryWindow exceeds the length of a run, so that the bound on retries holds for all of it.
	driverRetryWindow clock.Millis = 1_000_000
	// driverShares exceeds the pause between two reports of the use of engines.
	driverShares clock.Millis = 1000
	// driverComparison bounds the comparison of the first configuration with those of other nodes.
	driverComparison clock.Millis = 3000
	// driverSettles bounds the time in which the model ends what is open: the longest deadline of a
	// client is a minute after the arrival.
	driverSettles clock.Millis = 70_000
)

// driver drives a model with random messages, carries out its commands as sessions do, and checks
// what becomes of each request.
type driver struct {
	t       *rapid.T
	model   *dispatch.Model
	policy  dispatch.Policy
	now     clock.Millis
	nextAt  clock.Millis
	version uint64
	clients []*driverClient
	// own counts the requests that no other node has passed on by service, and retries the attempts after
	// one that has reached an upstream.
	own, retries map[string]int
	probes       []fleet.Incarnation
	identifies   []fleet.Incarnation
	permits      []limit.PermitRequestCmd
	// recoverAt is when a RecoverMsg is due; 0 for none. stopAt is when the node ends; 0 while no stop
	// has begun.
	recoverAt clock.Millis
	stopAt    clock.Millis
	nodeEnded bool
	// compares reports whether the first configuration is compared with those of other nodes.
	compares bool
	// confirms reports whether the configuration is confirmed at each tick, and stops whether a planned stop
	// may begin.
	confirms, stops bool
	// contended reports whether another node reports at each tick that it uses all engines for one account.
	contended bool
	// used is the use of engines by this node's requests as it was shared last.
	used map[fleet.Incarnation]fleet.EngineUsage
}

// driverClient is a request as its client and its session see it.
type driverClient struct {
	id dispatch.RequestID
	// forwarded describes a request that another node has passed on.
	forwarded *dispatch.Forwarded
	// ranOn holds the upstreams that may have executed the request for this node, and ranElsewhere counts those
	// of other nodes.
	ranOn        map[fleet.Incarnation]bool
	ranElsewhere int
	// attempt is the last attempt; live reports whether it is in progress.
	attempt dispatch.SendCmd
	live    bool
	// mayHaveRun reports whether an attempt that has ended may have been executed, charged whether the next
	// one is a retry, and relayable whether the last one ended with an error of the upstream.
	mayHaveRun, charged, relayable bool
	delivered                      dispatch.Delivered
	events                         int
	waiting, migrating             bool
	// end is how the request ended; empty while it is open.
	end string
}

func (c *driverClient) String() string {
	return fmt.Sprintf("request %d: attempt=%d live=%v run=%v delivered=%d waiting=%v end=%q", c.id, c.attempt.Attempt, c.live, c.mayHaveRun, c.delivered, c.waiting, c.end)
}

// maxUpstreams returns how many upstreams may execute the request.
func (c *driverClient) maxUpstreams(route *catalog.Route) int {
	if c.forwarded != nil && c.forwarded.UpstreamsLeft > 0 {
		return min(max(route.MaxAttempts, 1), c.forwarded.UpstreamsLeft)
	}
	return max(route.MaxAttempts, 1)
}

func (d *driver) update(msg dispatch.Msg) {
	for _, cmd := range d.model.Update(d.now, msg) {
		d.apply(cmd)
	}
	if waits := d.model.CapacityWaits(); waits.Waiting != d.waiting() {
		d.t.Fatalf("got %d waiting requests after %T, want %d", waits.Waiting, msg, d.waiting())
	}
}

func (d *driver) waiting() int {
	n := 0
	for _, c := range d.clients {
		if c.waiting {
			n++
		}
	}
	return n
}

func (d *driver) client(id dispatch.RequestID) *driverClient { return d.clients[id-1] }

// openForwarded counts the open requests that other nodes have passed on.
func (d *driver) openForwarded() int {
	n := 0
	for _, c := range d.clients {
		if c.forwarded != nil && c.end == "" {
			n++
		}
	}
	return n
}

// comparing reports whether the configuration may not have been compared with those of other nodes.
func (d *driver) comparing() bool { return d.compares && d.now < driverComparison }

// require fails unless a command is allowed in the state of its request.
func (d *driver) require(allowed bool, cmd dispatch.Cmd, c *driverClient) {
	if !allowed {
		d.t.Fatalf("got %s at %d, want none: %v", show(cmd), d.now, c)
	}
}

func (d *driver) apply(cmd dispatch.Cmd) {
	switch cmd := cmd.(type) {
	case dispatch.SendCmd:
		d.send(cmd)
	case dispatch.RespondCmd:
		d.respond(cmd)
	case dispatch.EndRequestCmd:
		c := d.client(cmd.Answer.Request)
		d.require(c.end == "" && !c.waiting && (!c.mayHaveRun && !c.live || cmd.Answer.Status == http.StatusBadGateway), cmd, c)
		c.end, c.live = "ended with the node", false
	case dispatch.RelayFailureCmd:
		c := d.client(cmd.Request)
		d.require(c.end == "" && !c.live && !c.waiting && c.relayable && cmd.Attempt == c.attempt.Attempt && c.delivered == dispatch.DeliveredNothing, cmd, c)
		c.end = "answered by the upstream's error"
	case dispatch.AbortResponseCmd:
		c := d.client(cmd.Request)
		d.require(c.end == "" && !c.live && c.delivered != dispatch.DeliveredNothing, cmd, c)
		c.end = "aborted"
	case dispatch.CapacityWaitCmd:
		c := d.client(cmd.Request)
		d.require(c.end == "" && !c.live && !c.waiting, cmd, c)
		c.waiting = true
	case dispatch.CapacityWaitEndCmd:
		c := d.client(cmd.Request)
		d.require(!c.live && c.waiting, cmd, c)
		c.waiting = false
	default:
		d.applyToAttempt(cmd)
	}
}

// respond checks an answer of the node's own.
func (d *driver) respond(cmd dispatch.RespondCmd) {
	c := d.client(cmd.Request)
	// Whatever a client is told but 502 says that its request has not run.
	d.require(c.end == "" && !c.live && !c.waiting && c.delivered == dispatch.DeliveredNothing && (!c.mayHaveRun || cmd.Status == http.StatusBadGateway), cmd, c)
	c.end = "answered: " + string(cmd.Reason)
	if cmd.Reason == dispatch.ReasonNodeBusy {
		d.require(c.forwarded.Overloaded || d.comparing() || d.openForwarded() >= d.policy.MaxForwarded, cmd, c)
	}
}

// applyToAttempt applies the commands about attempts in progress, and those about no request.
func (d *driver) applyToAttempt(cmd dispatch.Cmd) {
	inAttempt := func(id dispatch.RequestID, attempt int) {
		c := d.client(id)
		d.require(c.end == "" && c.live && c.attempt.Attempt == attempt && c.attempt.Node == "", cmd, c)
	}
	switch cmd := cmd.(type) {
	case dispatch.MigrateCmd:
		inAttempt(cmd.Request, cmd.Attempt)
		d.client(cmd.Request).migrating = true
	case dispatch.AbandonCmd:
		inAttempt(cmd.Request, cmd.Attempt)
	case dispatch.RecheckAttemptCmd:
		inAttempt(cmd.Request, cmd.Attempt)
	case dispatch.SlotWaitCmd:
		c := d.client(cmd.Request)
		d.require(c.end == "" && !c.live && !c.waiting, cmd, c)
	case dispatch.RecheckDeadlineCmd:
		c := d.client(cmd.Request)
		d.require(c.end == "", cmd, c)
	case dispatch.RecoverCmd:
		d.recoverAt = d.now.Add(cmd.After)
	case dispatch.IdentifyCmd:
		d.identifies = append(d.identifies, cmd.Upstream)
	case dispatch.ProbeCmd:
		d.probes = append(d.probes, cmd.Upstream)
	case dispatch.ShareUsageCmd:
		d.used = cmd.Used
	case dispatch.RequestPermitsCmd:
		d.permits = append(d.permits, cmd.PermitRequestCmd)
	}
}

// send checks that an attempt is the only one of its request, and that its request may run once more.
func (d *driver) send(cmd dispatch.SendCmd) {
	c := d.client(cmd.Request)
	d.require(c.end == "" && !c.live && !c.waiting && !d.nodeEnded, cmd, c)
	d.require(c.delivered != dispatch.DeliveredPartial && (!c.mayHaveRun || cmd.Route.MayRepeat()), cmd, c)
	d.require(cmd.Node == "" || c.forwarded == nil, cmd, c)
	if len(cmd.Chain) == 0 && cmd.Node == "" {
		d.require(c.ranOn[cmd.Upstream] || len(c.ranOn)+c.ranElsewhere < c.maxUpstreams(cmd.Route), cmd, c)
	}
	service := driverServices[cmd.Route.Name]
	if c.charged {
		d.retries[service]++
		c.charged = false
	}
	// A node rounds its part up or down at random, so that the parts of all nodes add up.
	if allowed := d.policy.RetryShare*float64(d.own[service]) + d.policy.RetrySlack + 1; float64(d.retries[service]) > allowed {
		d.t.Fatalf("got %d retries for %d requests, want at most %v", d.retries[service], d.own[service], allowed)
	}
	c.attempt, c.live, c.relayable, c.migrating = cmd, true, false, false
}

// arrive adds a request.
func (d *driver) arrive() {
	c := &driverClient{id: dispatch.RequestID(len(d.clients) + 1), ranOn: make(map[fleet.Incarnation]bool)}
	d.clients = append(d.clients, c)
	msg := dispatch.ArriveMsg{
		Request: c.id, CallerID: fmt.Sprint(c.id), Host: "h",
		Path: rapid.SampledFrom(driverPaths).Draw(d.t, "path"), Key: rapid.SampledFrom([]string{"k", "k", "k", "shop", "shop", "shop", "radio", "radio", "radio", "unknown"}).Draw(d.t, "key"), HasKey: true,
		PromptTokens: rapid.SampledFrom([]int{0, 20, 60, 200, 200}).Draw(d.t, "tokens"), AnswerTokens: rapid.SampledFrom([]int{0, 20}).Draw(d.t, "answer"),
		Remaining: clock.Millis(rapid.SampledFrom([]int{1, 150, 1500, 20_000, 20_000, 20_000, 0}).Draw(d.t, "remaining")), BodyBytes: rapid.IntRange(0, 900).Draw(d.t, "body"),
	}
	msg.Work = driverWork(rapid.IntRange(0, 9).Draw(d.t, "work"))
	if oneIn(d.t, 6, "passed") {
		msg.Forwarded = &dispatch.Forwarded{
			From: "n9", UpstreamsLeft: rapid.IntRange(0, 2).Draw(d.t, "left"), Admitted: rapid.Bool().Draw(d.t, "admitted"), Account: "shop", Overloaded: oneIn(d.t, 10, "overloaded"),
		}
		c.forwarded = msg.Forwarded
	} else {
		d.own[driverServices[strings.Split(msg.Path, "/")[1]]]++
	}
	d.update(msg)
}

// open returns a random request that is open; nil if there is none.
func (d *driver) open(allowed func(*driverClient) bool) *driverClient {
	var list []*driverClient
	for _, c := range d.clients {
		if c.end == "" && allowed(c) {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(d.t, "request")]
}

func isLive(c *driverClient) bool { return c.live }

// endAttempt ends an attempt, or lets a client leave.
func (d *driver) endAttempt() {
	if oneIn(d.t, 8, "leaves") {
		if c := d.open(func(*driverClient) bool { return true }); c != nil {
			d.leave(c)
		}
		return
	}
	if c := d.open(isLive); c != nil {
		d.endAttemptOf(c)
	}
}

// leave ends a request as its session does when its client has left or its deadline has passed.
func (d *driver) leave(c *driverClient) {
	c.end, c.live = "client left", false
	d.update(dispatch.RequestEndedMsg{Request: c.id})
}

func (d *driver) endAttemptOf(c *driverClient) {
	if oneIn(d.t, 3, "answered") {
		c.end, c.live = "served", false
		d.update(dispatch.AttemptDoneMsg{Request: c.id, Attempt: c.attempt.Attempt, Took: 50, UpstreamFailed: rapid.Bool().Draw(d.t, "error")})
		d.update(dispatch.RequestEndedMsg{Request: c.id})
		return
	}
	d.deliver(c)
	d.fail(c, d.failure(c))
}

// failure draws how the attempt of a request fails.
func (d *driver) failure(c *driverClient) dispatch.AttemptFailedMsg {
	msg := dispatch.AttemptFailedMsg{Request: c.id, Attempt: c.attempt.Attempt, Events: c.events, Delivered: c.delivered}
	if c.events > 0 {
		msg.LastEventAt = d.now
	}
	if c.attempt.Node != "" {
		msg.Cause = rapid.SampledFrom([]dispatch.Cause{dispatch.CauseNotSent, dispatch.CauseStaleConfig, dispatch.CauseUnknown, dispatch.CauseNoProgress, dispatch.CauseUpstreamFailed, dispatch.CauseNodeRefused}).Draw(d.t, "cause")
		if msg.Cause == dispatch.CauseNodeRefused {
			msg.Refusal = dispatch.NodeRefusal{Reason: rapid.SampledFrom([]dispatch.Reason{dispatch.ReasonNoPath, dispatch.ReasonNoMemory, dispatch.ReasonStopping, dispatch.ReasonUnknownKey}).Draw(d.t, "reason"), RetryAfter: 300}
		}
		return msg
	}
	msg.Cause = dispatch.Cause(rapid.IntRange(int(dispatch.CauseNotSent), int(dispatch.CauseUpstreamFailed)).Draw(d.t, "cause"))
	msg.FaultyAddress = d.faultyAddress(c)
	msg.Provisional = msg.Cause == dispatch.CauseNoProgress && rapid.Bool().Draw(d.t, "provisional")
	return msg
}

// faultyAddress draws an engine of the attempt's chain, or none.
func (d *driver) faultyAddress(c *driverClient) string {
	if len(c.attempt.Chain) == 0 || rapid.Bool().Draw(d.t, "unnamed") {
		return ""
	}
	return rapid.SampledFrom(c.attempt.Chain).Draw(d.t, "faulty").Address
}

// deliver draws the part of the answer that the client receives from an attempt.
func (d *driver) deliver(c *driverClient) {
	switch rapid.IntRange(0, 5).Draw(d.t, "delivered") {
	case 0:
		if c.delivered == dispatch.DeliveredNothing {
			c.delivered = dispatch.DeliveredPartial
		}
	case 1:
		if c.delivered != dispatch.DeliveredPartial && c.attempt.Route.Kind == catalog.Streaming {
			c.delivered = dispatch.DeliveredEvents
			c.events += rapid.IntRange(1, 3).Draw(d.t, "events")
		}
	}
}

// fail reports a failed attempt. An answer that has begun shows that the request has run.
func (d *driver) fail(c *driverClient, msg dispatch.AttemptFailedMsg) {
	c.live = false
	if c.delivered != dispatch.DeliveredNothing && msg.Cause != dispatch.CauseNoProgress {
		msg.Cause = dispatch.CauseUnknown
	}
	ran := msg.Cause == dispatch.CauseUnknown || msg.Cause == dispatch.CauseNoProgress || msg.Cause == dispatch.CauseUpstreamFailed
	c.mayHaveRun = c.mayHaveRun || ran
	switch {
	case ran && c.attempt.Node != "":
		c.ranElsewhere += c.attempt.UpstreamsLeft
	case ran:
		c.ranOn[c.attempt.Upstream] = true
	}
	c.relayable = msg.Cause == dispatch.CauseUpstreamFailed
	c.charged = c.charged || ran || msg.Cause == dispatch.CauseFull || msg.Cause == dispatch.CauseMisdirected
	d.update(msg)
}

// progress reports what a session sees of an attempt that goes on.
func (d *driver) progress() {
	if c := d.open(func(c *driverClient) bool { return c.live && c.migrating }); c != nil && rapid.Bool().Draw(d.t, "migrates") {
		c.migrating = false
		d.update(dispatch.MigratedMsg{Request: c.id, Attempt: c.attempt.Attempt, Result: dispatch.MigrationResult(rapid.IntRange(0, 3).Draw(d.t, "result")), FaultyAddress: d.faultyAddress(c)})
		return
	}
	c := d.open(isLive)
	if c == nil {
		return
	}
	number := c.attempt.Attempt
	switch rapid.IntRange(0, 3).Draw(d.t, "progress") {
	case 0:
		d.update(dispatch.FirstEventMsg{Request: c.id, Attempt: number})
	case 1:
		d.update(dispatch.StalledMsg{Request: c.id, Attempt: number, FaultyAddress: d.faultyAddress(c), Slow: rapid.Bool().Draw(d.t, "slow"), Provisional: rapid.Bool().Draw(d.t, "provisional"), Events: c.events})
	case 2:
		if c.attempt.FirstEventLimit > 0 {
			d.update(dispatch.FirstEventOverdueMsg{Request: c.id, Attempt: number})
		}
	case 3:
		var ids []fleet.Incarnation
		for _, p := range c.attempt.Chain {
			ids = append(ids, p.ID)
		}
		d.update(dispatch.ChainUnansweredMsg{Upstreams: ids})
	}
}

// repeat reports something of an attempt that is over, as of a session's message that was under way.
func (d *driver) repeat() {
	c := d.open(func(c *driverClient) bool { return c.attempt.Attempt > 0 })
	if c == nil {
		return
	}
	number := c.attempt.Attempt
	if c.live {
		number--
	}
	msgs := []dispatch.Msg{
		dispatch.FirstEventMsg{Request: c.id, Attempt: number}, dispatch.StalledMsg{Request: c.id, Attempt: number, FaultyAddress: c.attempt.Address},
		dispatch.MigratedMsg{Request: c.id, Attempt: number}, dispatch.FirstEventOverdueMsg{Request: c.id, Attempt: number},
		dispatch.AttemptFailedMsg{Request: c.id, Attempt: number, Cause: dispatch.CauseUnknown, Events: c.events, Delivered: c.delivered}, dispatch.AttemptDoneMsg{Request: c.id, Attempt: number},
	}
	d.update(rapid.SampledFrom(msgs).Draw(d.t, "late"))
}

// pass lets time go by, with the messages that are due.
func (d *driver) pass(span clock.Millis) {
	for end := d.now.Add(span); d.now < end; {
		next := min(end, d.nextAt)
		if d.recoverAt > 0 {
			next = min(next, max(d.recoverAt, d.now))
		}
		d.now = next
		if d.recoverAt > 0 && d.now >= d.recoverAt {
			d.recoverAt = 0
			d.update(dispatch.RecoverMsg{})
		}
		if d.now >= d.nextAt {
			d.nextAt = d.now.Add(driverTick)
			d.update(dispatch.TickMsg{})
			if d.confirms {
				d.update(dispatch.CatalogMsg{ConfirmedAt: d.now})
			}
			if d.contended {
				d.update(driverContention())
			}
		}
		if d.stopAt > 0 && d.now >= d.stopAt && !d.nodeEnded {
			d.update(dispatch.NodeEndMsg{})
			d.nodeEnded = true
			d.requireClosed("the node's end")
		}
	}
}

// requireClosed fails if a request is open.
func (d *driver) requireClosed(after string) {
	for _, c := range d.clients {
		if c.end == "" {
			d.t.Fatalf("got an open request after %s, want each ended: %v", after, c)
		}
	}
}

// suspend lets time go by without any message, as while the VM is suspended.
func (d *driver) suspend() {
	d.now = d.now.Add(clock.Millis(rapid.IntRange(1, 8000).Draw(d.t, "suspended")))
	d.update(dispatch.VMResumedMsg{})
}

// settle ends all attempts until no request is open. Nothing else helps those that wait.
func (d *driver) settle() {
	for end := d.now.Add(driverSettles); d.now < end; d.pass(driverTick) {
		open := false
		for _, c := range slices.Clone(d.clients) {
			if c.end == "" && c.live {
				d.endAttemptOf(c)
			}
			open = open || c.end == ""
		}
		if !open {
			break
		}
	}
	d.requireClosed("the last deadline")
	d.update(dispatch.PeersMsg{TotalNodes: 2, UsagePeers: 1})
	d.used = nil
	d.pass(driverShares)
	for id, use := range d.used {
		// Sums of what was added and subtracted are rounded.
		if use.Streams != 0 || math.Abs(use.Memory) > driverRounding || math.Abs(use.PromptTokens) > driverRounding {
			d.t.Fatalf("got %+v in use at %v, want nothing: no request is open", use, id)
		}
	}
}

func newDriver(t *rapid.T) *driver {
	d := &driver{t: t, own: make(map[string]int), retries: make(map[string]int), now: 10, nextAt: 100, policy: driverPolicy(t)}
	opts := []dispatch.Option{
		dispatch.WithDataCentre("a"), dispatch.WithPolicy(d.policy), dispatch.WithLimits(limit.New(limit.WithSelf("n1"))), dispatch.WithSeed(rapid.Uint64Range(1, 1000).Draw(t, "seed")),
	}
	if oneIn(t, 8, "stored") {
		opts = append(opts, dispatch.WithStoredQuarantine())
	}
	if d.compares = oneIn(t, 8, "compares"); d.compares {
		opts = append(opts, dispatch.WithConfigComparison())
	}
	d.model = dispatch.New(opts...)
	d.confirms, d.stops = !oneIn(t, 5, "unconfirmed"), oneIn(t, 4, "may stop")
	if !oneIn(t, 10, "late") {
		d.update(d.peers())
		d.update(d.configuration())
		for i := range driverUpstreams {
			d.update(dispatch.FleetMsg{Changes: []fleet.Change{driverChange(t, i)}})
		}
	}
	return d
}

// Guards against a request that runs twice, one that is told that it has not run although it may have,
// and one that ends never or twice, whatever the settings are and whatever happens to engines, links,
// other nodes, the configuration, the clients and the node. What is inferred from something that a
// request lacks is wrong as soon as another way through the node lacks it too.
func TestEachRequestEndsOnce(t *testing.T) {
	ends := make(map[string]int)
	passed, waits := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		d := newDriver(rt)
		for range rapid.SampledFrom([]int{1, 10, 100, 400}).Draw(rt, "steps") {
			d.pass(clock.Millis(rapid.SampledFrom([]int{0, 0, 0, 5, 30, 100, 300}).Draw(rt, "pause")))
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0, 4:
				d.arrive()
			case 1, 5, 8:
				d.endAttempt()
			case 2, 7:
				d.change()
			case 3, 9:
				d.progress()
			case 6:
				d.repeat()
			}
		}
		d.settle()
		for _, c := range d.clients {
			ends[c.end]++
			if c.attempt.Node != "" {
				passed++
			}
		}
		waits += d.model.CapacityWaits().Begun
	})
	if passed == 0 || waits == 0 {
		t.Errorf("got %d requests passed on and %d waits, want some of each", passed, waits)
	}
	t.Logf("%v, %d passed on last, %d waits for capacity", ends, passed, waits)
}

// peers draws the other nodes.
func (d *driver) peers() dispatch.PeersMsg {
	msg := dispatch.PeersMsg{TotalNodes: rapid.SampledFrom([]int{0, 1, 3, 100}).Draw(d.t, "nodes"), Members: []limit.Member{{Name: "n1", DataCentre: "a"}}}
	for i := range rapid.IntRange(0, 5).Draw(d.t, "others") {
		name := fmt.Sprint("n", i+2)
		msg.Members = append(msg.Members, limit.Member{Name: name, DataCentre: "a"})
		msg.ForwardTargets = append(msg.ForwardTargets, forwarding.Node{Name: name, DataCentre: "a", Address: name})
	}
	msg.UsagePeers = len(msg.ForwardTargets)
	return msg
}
