package dispatch_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/forwarding"
	"github.com/hoistjunction/hoistjunction/internal/script"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/reachability"
	"github.com/hoistjunction/hoistjunction/work"
)

func TestScripts(t *testing.T) { runScripts(t, "testdata", scriptPolicy) }

// TestSlotScripts runs the scripts about waiting for slots at plain services.
func TestSlotScripts(t *testing.T) { runScripts(t, "testdata/slot_queue", scriptPolicy) }

// TestCapacityScripts runs the scripts about waiting for capacity of pipelines.
func TestCapacityScripts(t *testing.T) {
	policy := scriptPolicy
	policy.MaxWaiting, policy.MaxWaitingBytes = 4, 1000
	runScripts(t, "testdata/capacity_queue", policy)
}

// scriptPolicy lets no request wait for capacity, as by default.
var scriptPolicy = dispatch.Policy{MaxForwarded: 2, AccountPriorities: true, MaxConfigAge: 5000, RetryWindow: 10_000, RetryShare: 0.2, RetrySlack: 200}

// TestRecoveryScripts runs the scripts about streams that leave lost engines.
func TestRecoveryScripts(t *testing.T) { runScripts(t, "testdata/recovery", scriptPolicy) }

func runScripts(t *testing.T, folder string, policy dispatch.Policy) {
	runScriptsWith(t, folder, policy, func(*scriptRunner) {})
}

// runScriptsWith runs scripts with a runner that setUp has changed.
func runScriptsWith(t *testing.T, folder string, policy dispatch.Policy, setUp func(*scriptRunner)) {
	script.Run(t, folder, func(t *testing.T) func(script.Step) []string {
		p := &scriptRunner{t: t, model: dispatch.New(
			dispatch.WithDataCentre("a"),
			dispatch.WithLimits(limit.New(limit.WithSelf("n1"))),
			dispatch.WithPolicy(policy),
		)}
		// The node is the only one unless a script line reports others.
		p.model.Update(0, dispatch.PeersMsg{TotalNodes: 1})
		setUp(p)
		return p.step
	})
}

// scriptRunner executes the lines of a script.
type scriptRunner struct {
	t     *testing.T
	model *dispatch.Model
	now   clock.Millis
	// showsReach reports whether changes of reachability are among the results.
	showsReach bool
}

// TestUncomparedScripts runs the scripts about a node that has not compared its first configuration.
func TestUncomparedScripts(t *testing.T) {
	runScriptsWith(t, "testdata/uncompared", scriptPolicy, func(p *scriptRunner) {
		p.model = dispatch.New(dispatch.WithDataCentre("a"), dispatch.WithLimits(limit.New(limit.WithSelf("n1"))), dispatch.WithPolicy(scriptPolicy), dispatch.WithConfigComparison())
		p.model.Update(0, dispatch.PeersMsg{TotalNodes: 1})
	})
}

// TestStoppingScripts runs the scripts about a planned stop of the node.
func TestStoppingScripts(t *testing.T) { runScripts(t, "testdata/stopping", scriptPolicy) }

// TestReachScripts runs the scripts about lost links to upstreams.
func TestReachScripts(t *testing.T) {
	runScriptsWith(t, "testdata/reach", scriptPolicy, func(p *scriptRunner) { p.showsReach = true })
}

func (p *scriptRunner) step(s script.Step) []string {
	p.now = clock.Millis(s.Int("at", int(p.now)))
	var lines []string
	for _, cmd := range p.model.Update(p.now, p.message(s)) {
		if _, isReach := cmd.(dispatch.ReachCmd); isReach && !p.showsReach {
			continue
		}
		line := show(cmd)
		if sent, ok := cmd.(dispatch.SendCmd); ok && s.Params["show"] == "prediction" {
			line += fmt.Sprintf(" first_event=%d input_age=%d", sent.PredictedFirstEvent, sent.PredictionInputAge)
		}
		if share, ok := cmd.(dispatch.ShareUsageCmd); ok && s.Params["show"] == "accounts" {
			line = "share" + showAccounts("own", share.Accounts) + showAccounts("centre", share.DataCentreAccounts) + showAccounts("all", share.AllAccounts)
		}
		lines = append(lines, line)
	}
	return lines
}

// configMsg returns the message of a script line about the configuration; nil for another line.
func (p *scriptRunner) configMsg(s script.Step) dispatch.Msg {
	switch s.Verb {
	case "config":
		return dispatch.CatalogMsg{Catalog: testCatalog(s), ConfirmedAt: clock.Millis(s.Int("confirmed", int(p.now)))}
	case "confirmed":
		return dispatch.CatalogMsg{ConfirmedAt: p.now}
	case "compared":
		return dispatch.ConfigComparedMsg{}
	}
	return nil
}

func (p *scriptRunner) message(s script.Step) dispatch.Msg {
	request, attempt := parseAttempt(s.Arg(0))
	if message := sharedLimitMsg(s); message != nil {
		return message
	}
	if message := recoveryMsg(s, request, attempt); message != nil {
		return message
	}
	if message := p.configMsg(s); message != nil {
		return message
	}
	if message := peersMsg(s); message != nil {
		return message
	}
	if message := peerFinding(s); message != nil {
		return message
	}
	switch s.Verb {
	case "upstream":
		return dispatch.FleetMsg{Changes: []fleet.Change{{ID: script.Incarnation(s.Arg(0)), Upstream: testUpstream(s)}}}
	case "gone", "ended":
		return dispatch.FleetMsg{Changes: []fleet.Change{{ID: script.Incarnation(s.Arg(0)), Gone: true, Ended: s.Verb == "ended"}}}
	case "placed":
		return dispatch.PlacedMsg{Upstream: script.Incarnation(s.Arg(0)), Layers: testUpstream(s).Held, Completed: s.Params["holds"] == "yes"}
	case "report":
		return dispatch.ReportMsg{Upstream: script.Incarnation(s.Arg(0)), Report: testReport(s)}
	case "arrive":
		return arriveMsg(s, request)
	case "failed":
		return dispatch.AttemptFailedMsg{
			Request: request, Attempt: attempt, Cause: parseCause(p.t, s.Params["cause"]), FaultyAddress: s.Params["by"],
			Events: s.Int("events", 0), Delivered: parseDelivered(s), LastEventAt: clock.Millis(s.Int("last", 0)), Provisional: s.Params["early"] == "yes",
			Refusal: dispatch.NodeRefusal{Reason: dispatch.Reason(s.Params["reason"]), RetryAfter: clock.Millis(s.Int("back", 0))},
		}
	case "event":
		return dispatch.FirstEventMsg{Request: request, Attempt: attempt}
	case "done":
		return dispatch.AttemptDoneMsg{Request: request, Attempt: attempt, Took: clock.Millis(s.Int("took", 50))}
	case "stalled":
		return dispatch.StalledMsg{Request: request, Attempt: attempt, FaultyAddress: s.Params["by"], Slow: s.Params["slow"] == "yes", LastEventAt: clock.Millis(s.Int("last", 0)), Provisional: s.Params["early"] == "yes"}
	case "moved":
		return dispatch.MigratedMsg{Request: request, Attempt: attempt, Result: dispatch.MigrationResult(s.Int("result", 0)), FaultyAddress: s.Params["by"]}
	case "rests":
		return dispatch.BackOffMsg{Upstream: script.Incarnation(s.Arg(0)), For: clock.Millis(s.Int("for", 0))}
	case "left":
		return dispatch.RequestEndedMsg{Request: request}
	case "probed":
		return dispatch.ProbedMsg{Upstream: script.Incarnation(s.Arg(0)), Answered: s.Params["well"] == "yes", Identified: s.Params["named"] == "yes", Report: testReport(s)}
	case "identified":
		return dispatch.IdentifiedMsg{Upstream: script.Incarnation(s.Arg(0)), Presence: map[string]fleet.Presence{"itself": fleet.Present, "another": fleet.Replaced}[s.Params["as"]]}
	case "toldlost":
		return dispatch.PeerLossMsg{Request: work.Request{Content: clinicWork(s.Arg(0)), Parts: parseParts(s)}, Upstream: script.Incarnation(s.Arg(1)), Age: clock.Millis(s.Int("age", 0))}
	case "toldanswered":
		return dispatch.PeerAnswerMsg{Work: clinicWork(s.Arg(0))}
	case "quarantined":
		return dispatch.QuarantinedMsg{Works: []dispatch.Quarantined{{Work: clinicWork(s.Arg(0)), Age: clock.Millis(s.Int("age", 0)), Ended: parseIncarnations(s.Params["ended"])}}}
	case "drain":
		return dispatch.DrainMsg{LateFrom: clock.Millis(s.Int("late", s.Int("end", 0))), End: clock.Millis(s.Int("end", 0))}
	case "nodeends":
		return dispatch.NodeEndMsg{}
	case "woke":
		return dispatch.VMResumedMsg{}
	case "tick":
		return dispatch.TickMsg{}
	}
	p.t.Fatalf("line %d: unknown verb %q", s.Line, s.Verb)
	return nil
}

// peerFinding returns the message of a script line about engines that were found silent or answer after
// all; nil for any other line.
func peerFinding(s script.Step) dispatch.Msg {
	switch s.Verb {
	case "told":
		return dispatch.PeerUnresponsiveMsg{Upstream: script.Incarnation(s.Arg(0))}
	case "chainsilent":
		return dispatch.ChainUnansweredMsg{Upstreams: parseIncarnations(s.Arg(0))}
	case "toldanswers":
		return dispatch.PeerResponsiveMsg{Upstream: script.Incarnation(s.Arg(0))}
	default:
		return nil
	}
}

// peersMsg returns the message of a script line about other nodes and their usage; nil for any other
// line.
func peersMsg(s script.Step) dispatch.Msg {
	switch s.Verb {
	case "peers":
		return dispatch.PeersMsg{TotalNodes: s.Int("all", 1), UsagePeers: s.Int("near", 0), LocalNodes: s.Int("here", 0), Aggregated: s.Params["summed"] == "yes"}
	case "nodes":
		return nodesMsg(s)
	case "usage":
		return dispatch.UsageMsg{Node: s.Arg(0), Used: map[fleet.Incarnation]fleet.EngineUsage{
			script.Incarnation(s.Arg(1)): {Memory: amountOf(s), Streams: s.Int("streams", 0), PromptTokens: promptsOf(s), Slowdown: slowdownOf(s)},
		}, Accounts: accountUses(s.Params["accounts"]), WholeDataCentre: s.Params["total"] == "yes", AllNodes: s.Params["whole"] == "yes", Nodes: s.Int("nodes", 0), DataCentre: s.Params["in"]}
	}
	return nil
}

// nodesMsg returns a message with the named nodes as those that may serve requests of this one. They are
// all other nodes unless the line contains all=.
func nodesMsg(s script.Step) dispatch.PeersMsg {
	msg := dispatch.PeersMsg{TotalNodes: s.Int("all", len(s.Args)+1)}
	for _, name := range s.Args {
		msg.ForwardTargets = append(msg.ForwardTargets, forwarding.Node{Name: name, DataCentre: "a", Address: name + ":1"})
	}
	return msg
}

// slowdownOf returns the reported slowdown of a script line, which may be NaN.
func slowdownOf(s script.Step) float64 {
	slowdown, _ := strconv.ParseFloat(s.Params["slowdown"], 64)
	return slowdown
}

// amountOf returns the memory in use of a script line, which may be NaN.
func amountOf(s script.Step) float64 {
	amount, _ := strconv.ParseFloat(s.Params["amount"], 64)
	return amount
}

// promptsOf returns the waiting prompt tokens of a script line, which may be NaN.
func promptsOf(s script.Step) float64 {
	prompts, _ := strconv.ParseFloat(s.Params["prompts"], 64)
	return prompts
}

// accountUses parses the use of the service writer by account: clinic:800,shop:20.
func accountUses(text string) []fairshare.AccountUse {
	var list []fairshare.AccountUse
	for entry := range strings.SplitSeq(text, ",") {
		if account, amount, ok := strings.Cut(entry, ":"); ok {
			v, _ := strconv.ParseFloat(amount, 64)
			list = append(list, fairshare.AccountUse{Service: "writer", Account: account, Amount: v})
		}
	}
	return list
}

// showAccounts shows uses by account, if there are any.
func showAccounts(title string, list []fairshare.AccountUse) string {
	text := ""
	for _, u := range list {
		text += fmt.Sprintf(" %s %s:%.0f", title, u.Account, u.Amount)
	}
	return text
}

// retriesMsg returns the usage report of a script line about a request for retries or a loan; nil for
// any other line.
func retriesMsg(s script.Step) dispatch.Msg {
	var retries budget.Report
	life, asked, n := uint64(s.Int("life", 0)), clock.Millis(s.Int("asked", 0)), s.Int("retries", 0)
	switch s.Verb {
	case "asks":
		retries.Asks = []budget.Ask{{Service: "writer", BootID: life, SentAt: asked, Retries: n}}
	case "lends":
		retries.Grants = []budget.Grant{{Borrower: "n1", Service: "writer", BootID: life, AskedAt: asked, Retries: n, LentOn: s.Params["relent"] == "yes"}}
	default:
		return nil
	}
	return dispatch.UsageMsg{Node: s.Arg(0), AllNodes: s.Params["whole"] == "yes", DataCentre: "a", Nodes: s.Int("nodes", 0), Retries: retries}
}

// sharedLimitMsg returns the message of a script line about the rate limits and the retries that
// nodes share; nil for any other line.
func sharedLimitMsg(s script.Step) dispatch.Msg {
	switch s.Verb {
	case "limits":
		rate, _ := strconv.ParseFloat(s.Params["rate"], 64)
		return dispatch.AdvertisedLimitMsg{Upstream: script.Incarnation(s.Arg(0)), Rate: rate}
	case "unlimited":
		return dispatch.NoAdvertisedLimitMsg{Upstream: script.Incarnation(s.Arg(0)), SentAt: clock.Millis(s.Int("sent", 0))}
	case "members":
		return membersMsg(s)
	case "permits":
		return dispatch.PermitGrantMsg{From: s.Arg(0), Grant: limit.Grant{
			Upstream: script.Incarnation(s.Arg(1)), Seq: uint64(s.Int("number", 1)), Permits: s.Int("permits", 0),
			NextIn: clock.Millis(s.Int("next", 0)), Denied: s.Int("queue", 0),
		}}
	}
	return retriesMsg(s)
}

// recoveryMsg returns the message of a script line about the recovery of streams; nil for any other
// line.
func recoveryMsg(s script.Step, request dispatch.RequestID, attempt int) dispatch.Msg {
	switch s.Verb {
	case "recover":
		return dispatch.RecoverMsg{}
	case "overdue":
		return dispatch.FirstEventOverdueMsg{Request: request, Attempt: attempt}
	case "reported":
		return dispatch.LateReportMsg{Upstream: script.Incarnation(s.Arg(0)), Answered: s.Params["well"] == "yes", Report: testReport(s)}
	}
	return nil
}

// membersMsg returns a message with the named nodes as members, this node first.
func membersMsg(s script.Step) dispatch.PeersMsg {
	msg := dispatch.PeersMsg{TotalNodes: len(s.Args), UsagePeers: len(s.Args) - 1}
	for _, name := range s.Args {
		msg.Members = append(msg.Members, limit.Member{Name: name, DataCentre: "a"})
	}
	return msg
}

func testReport(s script.Step) dispatch.Report {
	return dispatch.Report{Slowdown: float64(s.Int("pace", 0)), FreeMemory: float64(s.Int("free", 0)), TotalMemory: float64(s.Int("all", 0)), Queued: s.Int("queued", 0), Empty: s.Params["empty"] == "yes"}
}

func parseAttempt(word string) (dispatch.RequestID, int) {
	first, second, _ := strings.Cut(word, ".")
	request, _ := strconv.Atoi(first)
	attempt, _ := strconv.Atoi(second)
	return dispatch.RequestID(request), attempt
}

func arriveMsg(s script.Step, request dispatch.RequestID) dispatch.ArriveMsg {
	key, hasKey := s.Params["key"]
	prompt, answer, _ := strings.Cut(s.Params["tokens"], ",")
	promptTokens, _ := strconv.Atoi(prompt)
	answerTokens, _ := strconv.Atoi(answer)
	return dispatch.ArriveMsg{
		Request: request, CallerID: s.Arg(0), Work: requestedWork(s), Host: "h", Path: s.Params["path"], Key: key, HasKey: hasKey, PromptParts: parseParts(s),
		Remaining: clock.Millis(s.Int("remaining", 20000)), PromptTokens: promptTokens, AnswerTokens: answerTokens, HintTokens: s.Int("hint", 0),
		BodyBytes: s.Int("body", 0), Forwarded: forwardedBy(s),
	}
}

// forwardedBy returns the node of a script line that has passed a request on; nil for none.
func forwardedBy(s script.Step) *dispatch.Forwarded {
	if s.Params["from"] == "" {
		return nil
	}
	return &dispatch.Forwarded{From: s.Params["from"], UpstreamsLeft: s.Int("upstreams_left", 0), Admitted: s.Params["admitted"] != "", Account: s.Params["admitted"]}
}

// requestedWork returns the work of a request: unique unless the line contains asked=.
func requestedWork(s script.Step) work.ID {
	name := s.Arg(0)
	if same, ok := s.Params["asked"]; ok {
		name = same
	}
	return work.ID{}.ForAccount(name)
}

// parseIncarnations parses a comma-separated list of upstreams.
func parseIncarnations(names string) []fleet.Incarnation {
	var list []fleet.Incarnation
	for name := range strings.SplitSeq(names, ",") {
		if name != "" {
			list = append(list, script.Incarnation(name))
		}
	}
	return list
}

// parseParts returns the parts of a prompt that a step names, as in parts=a1,b2.
func parseParts(s script.Step) []work.ID {
	var parts []work.ID
	for name := range strings.SplitSeq(s.Params["parts"], ",") {
		if name != "" {
			parts = append(parts, work.FromPart(name))
		}
	}
	return parts
}

// clinicWork returns the work of a request of the client account clinic.
func clinicWork(name string) work.ID { return work.ID{}.ForAccount(name).ForAccount("clinic") }

// parseDelivered returns the part of the answer that the client has: a part that cannot be
// resumed (part=yes), or the events given in the line.
func parseDelivered(s script.Step) dispatch.Delivered {
	switch {
	case s.Params["part"] == "yes":
		return dispatch.DeliveredPartial
	case s.Int("events", 0) > 0:
		return dispatch.DeliveredEvents
	}
	return dispatch.DeliveredNothing
}

func parseCause(t *testing.T, name string) dispatch.Cause {
	for c := dispatch.CauseNotSent; c <= dispatch.CauseNodeRefused; c++ {
		if c.String() == name {
			return c
		}
	}
	t.Fatalf("unknown cause %q", name)
	return 0
}

// testCatalog returns a configuration with one route of each kind. The key k is valid unless the
// line contains keys=none. All requests have the same priority if it contains priorities=equal.
func testCatalog(s script.Step) *catalog.Catalog {
	writer := &catalog.Service{Name: "writer", HealthPath: "/health", Pipeline: &catalog.Pipeline{
		Layers: 8, LayerMB: 1000, TokenBytes: 8_000_000, StepMS: 1, LoadMS: float64(s.Int("load", 0)),
		ReadRate: float64(s.Int("read", 0)), StepsPerPass: float64(s.Int("steps", 0)), PromptTokensPerPass: float64(s.Int("bound", 0)),
		Accelerators: map[string]catalog.Accelerator{
			"fast": {Name: "fast", MemoryMB: 5000, StepFactor: 1, ReadFactor: 1},
			"slow": {Name: "slow", MemoryMB: 5000, StepFactor: 10, ReadFactor: 10},
			// All layers fit, and fill its memory.
			"full": {Name: "full", MemoryMB: 8000, StepFactor: 1, ReadFactor: 1},
		},
	}}
	key := "k"
	if s.Params["keys"] == "none" {
		key = "another"
	}
	to := func(service string) []catalog.Target { return []catalog.Target{{Service: service, Weight: 1}} }
	return catalog.New(uint64(s.Int("version", 1)),
		catalog.WithRoutes(
			&catalog.Route{Name: "write", Host: "h", Prefix: "/write/", Kind: catalog.Streaming, Resumable: true,
				Targets: to("writer"), MaxAttempts: 2, Timeout: 20000, LatencyTarget: 500},
			&catalog.Route{Name: "steady", Host: "h", Prefix: "/steady/", Kind: catalog.Streaming, Resumable: true,
				Targets: to("writer"), MaxAttempts: 2, Timeout: 20000, LatencyTarget: 500, EventGapTarget: 250},
			&catalog.Route{Name: "tell", Host: "h", Prefix: "/tell/", Kind: catalog.Streaming,
				Targets: to("writer"), MaxAttempts: 2, Timeout: 20000, LatencyTarget: 500},
			&catalog.Route{Name: "once", Host: "h", Prefix: "/once/", Kind: catalog.AtMostOnce, Targets: to("desk"), MaxAttempts: 2, Timeout: 1500, LatencyTarget: 100},
			&catalog.Route{Name: "read", Host: "h", Prefix: "/read/", Kind: catalog.Repeatable, Targets: to("desk"), MaxAttempts: 2, Timeout: 1500, LatencyTarget: 100},
			&catalog.Route{Name: "open", Host: "h", Prefix: "/open/", Kind: catalog.AtMostOnce, Targets: to("desk"), MaxAttempts: 1, Anonymous: s.Params["open"] != "keyed"},
		),
		catalog.WithServices(writer, &catalog.Service{Name: "desk", HealthPath: "/health"}),
		catalog.WithAccount(catalog.Account{Name: "clinic"}, key),
		catalog.WithAccount(catalog.Account{Name: "shop"}, "shop"),
		catalog.WithAccount(catalog.Account{Name: "radio", Priority: s.Int("radio", 2), HasPriority: s.Params["priorities"] != "equal"}, "radio"),
	)
}

func testUpstream(s script.Step) fleet.Upstream {
	from, to, _ := strings.Cut(s.Params["held"], "-")
	held := fleet.LayerRange{}
	held.From, _ = strconv.Atoi(from)
	held.To, _ = strconv.Atoi(to)
	dataCentre := s.Params["in"]
	if dataCentre == "" {
		dataCentre = "a"
	}
	return fleet.Upstream{
		ID: script.Incarnation(s.Arg(0)), Address: addressOf(s), Service: s.Params["service"], DataCentre: dataCentre,
		Accelerator: s.Params["kind"], Held: held, Slots: s.Int("slots", 0), Leaving: s.Params["state"] == "leaving",
		Withheld: s.Params["state"] == "withheld",
	}
}

// addressOf returns the address of an upstream. Its incarnations share one unless the line
// contains address=.
func addressOf(s script.Step) string {
	if address, ok := s.Params["address"]; ok {
		return address
	}
	return string(script.Incarnation(s.Arg(0)).ID()) + ":80"
}

// showForward formats the command to pass a request on to another node.
func showForward(c dispatch.SendCmd) string {
	text := fmt.Sprintf("forward %d.%d to %s upstreams_left=%d", c.Request, c.Attempt, c.Node, c.UpstreamsLeft)
	if c.Admitted {
		text += " admitted=" + c.Account
	}
	return text
}

func showSend(c dispatch.SendCmd) string {
	if c.Node != "" {
		return showForward(c)
	}
	text := fmt.Sprintf("send %d.%d to %s", c.Request, c.Attempt, c.Upstream)
	if len(c.Chain) > 0 {
		text += " over " + showChain(c.Chain)
	}
	if c.Account != "" {
		text += " for " + c.Account
	}
	if c.Priority != 0 {
		text += fmt.Sprintf(" priority=%d", c.Priority)
	}
	return text
}

func show(cmd dispatch.Cmd) string {
	switch c := cmd.(type) {
	case dispatch.SendCmd:
		return showSend(c)
	case dispatch.RespondCmd:
		text := fmt.Sprintf("finish %d %d %s back=%d", c.Request, c.Status, c.Reason, c.RetryAfter)
		if h := c.HeldBack; h != nil {
			text += fmt.Sprintf(" priority=%d use=%.2f pressure=%.2f threshold=%.2f age=%d", h.Priority, h.Use, h.Pressure, h.Threshold, h.Age)
		}
		if o := c.OverShare; o != nil {
			text += fmt.Sprintf(" account=%s use=%.0f share=%.0f age=%d", o.Account, o.Use, o.Share, o.Age)
		}
		return text
	case dispatch.EndRequestCmd:
		return fmt.Sprintf("end %d %d %s back=%d", c.Answer.Request, c.Answer.Status, c.Answer.Reason, c.Answer.RetryAfter)
	case dispatch.RelayFailureCmd:
		return fmt.Sprintf("relay %d.%d", c.Request, c.Attempt)
	case dispatch.AbortResponseCmd:
		return fmt.Sprintf("cut %d %s", c.Request, c.Reason)
	case dispatch.MigrateCmd:
		return fmt.Sprintf("move %d.%d off %s over %s", c.Request, c.Attempt, c.FromEngine, showChain(c.Chain))
	case dispatch.RecheckAttemptCmd:
		return fmt.Sprintf("reconsider %d.%d at %s", c.Request, c.Attempt, c.SuspectedAddress) + map[bool]string{true: " ended"}[c.Crashed]
	case dispatch.ShareUsageCmd:
		return fmt.Sprintf("share %v total %v", c.Used, c.WholeDataCentre) + showRetries("", c.Retries) + showRetries("leaves ", c.LeafRetries)
	case dispatch.ResponsivenessCmd:
		text := fmt.Sprintf("silent %s %v", c.Upstream, c.Unresponsive)
		if c.Confirmed {
			text += " agreed"
		}
		return text
	case dispatch.AnswersHereCmd:
		return "answers here " + c.Upstream.String()
	case dispatch.ProbeCmd:
		return "probe " + c.Upstream.String()
	case dispatch.RecoverCmd:
		return fmt.Sprintf("recover in %d", c.After)
	case dispatch.AbandonCmd:
		return fmt.Sprintf("abandon %d.%d", c.Request, c.Attempt)
	case dispatch.IdentifyCmd:
		return "identify " + c.Upstream.String()
	case dispatch.QuarantineCmd:
		return showEvent(c.Event)
	case dispatch.RecheckDeadlineCmd:
		return fmt.Sprintf("wake %d give_up=%d", c.Request, c.Deadline)
	case dispatch.BackOffCmd:
		return fmt.Sprintf("rest %s until %d", c.Upstream, c.Until)
	case dispatch.LimitChangedCmd:
		return fmt.Sprintf("limit %s %v from=%s", c.Upstream, c.Rate, c.From)
	case dispatch.RequestPermitsCmd:
		return fmt.Sprintf("ask %s for %s number=%d want=%d", c.To, c.PermitRequest.Upstream, c.PermitRequest.Seq, c.PermitRequest.Permits)
	case dispatch.SuspectCmd:
		return fmt.Sprintf("suspect %s until %d", c.Upstream, c.Until)
	}
	return showWait(cmd)
}

// showWait shows the commands about waits of requests.
func showWait(cmd dispatch.Cmd) string {
	switch c := cmd.(type) {
	case dispatch.ReachCmd:
		if c.State == reachability.Reached {
			return fmt.Sprintf("reach %s %s answered=%d", c.DataCentre, c.State, c.AnswerAge)
		}
		return fmt.Sprintf("reach %s %s failed=%d of %d last=%s answered=%d", c.DataCentre, c.State, c.Failed, c.Listed, c.Kind, c.AnswerAge)
	case dispatch.SlotWaitCmd:
		return fmt.Sprintf("await %d waiting=%d", c.Request, c.Waiting)
	case dispatch.CapacityWaitCmd:
		return fmt.Sprintf("wait %d %s waiting=%d until=%d", c.Request, c.Reason, c.Waiting, c.Until) + map[bool]string{true: " returned"}[c.Returned]
	case dispatch.CapacityWaitEndCmd:
		return fmt.Sprintf("waited %d %s after=%d", c.Request, c.Outcome, c.Waited)
	}
	return fmt.Sprintf("%T", cmd)
}

// showRetries shows the requests for retries and the loans in a report.
func showRetries(to string, retries budget.Report) string {
	text := ""
	for _, a := range retries.Asks {
		text += fmt.Sprintf(" %sasks=%d", to, a.Retries)
	}
	for _, g := range retries.Grants {
		text += fmt.Sprintf(" %slends=%d to %s asked=%d", to, g.Retries, g.Borrower, g.AskedAt)
		if g.LentOn {
			text += " relent"
		}
	}
	return text
}

func showEvent(news quarantine.Event) string {
	switch n := news.(type) {
	case quarantine.LossEvent:
		return "lost at " + n.Upstream.String()
	case quarantine.QuarantinedEvent:
		return fmt.Sprintf("quarantined for %v", n.Crashed)
	case quarantine.ConfirmedEvent:
		return fmt.Sprintf("certain own=%v", n.Local)
	case quarantine.ClearedEvent:
		return fmt.Sprintf("cleared own=%v held=%v", n.Local, n.WasQuarantined)
	}
	return fmt.Sprintf("%T", news)
}

func showChain(parts []chain.Stage) string {
	var words []string
	for _, p := range parts {
		words = append(words, fmt.Sprintf("%s:%d-%d", p.ID, p.Layers.From, p.Layers.To))
	}
	return strings.Join(words, ",")
}
