package core

import (
	"math/rand/v2"

	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/config"
	"github.com/hoistjunction/hoistjunction/member"
	"github.com/hoistjunction/hoistjunction/once"
	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/wire"
)

// DefaultClaimWrites is the share of the platform's hundred writes a second
// that goes to claims. The rest is for configuration, registrations and
// orders, so that operators never wait behind callers.
const DefaultClaimWrites = 60

// Model is the state of an entry node. It is not safe for concurrent use.
type Model struct {
	node        *wire.NodeRecord
	secret      []byte
	seed        uint64
	seedPeers   []string
	chooser     pool.Chooser
	policy      Policy
	drainGrace  clock.Millis
	claimWrites float64

	now  clock.Millis
	rng  *rand.Rand
	cmds []Cmd
	// replyRNG is for what is asked for outside Update.
	replyRNG *rand.Rand

	tracker        *config.Tracker
	accounts       map[KeyHash]*account
	accountsByName map[string]*account
	routes         map[string]*route
	lanes          []*lane
	pool           *pool.Pool
	// ledger is this incarnation's own; ledgers holds it too, and those that
	// have been handed over, by incarnation.
	ledger    *once.Ledger
	ledgers   map[uint64]*once.Ledger
	members   *member.Table
	requests  map[uint64]*request
	byCaller  map[uint64]*request
	running   []*request
	relayed   []*request
	keys      map[string]*keyRecord
	answers   answerStore
	claims    claimBatcher
	proposals []*proposal
	timers    timers
	fetching  bool
	drain     drainState
	stats     Stats
}

// New returns the model of a node that has no configuration yet.
func New(opts ...Option) *Model {
	m := &Model{
		node:           &wire.NodeRecord{Name: "node", Incarnation: 1, DataCentre: "dc"},
		policy:         DefaultPolicy(),
		chooser:        pool.TwoChoices{},
		claimWrites:    DefaultClaimWrites,
		accounts:       make(map[KeyHash]*account),
		accountsByName: make(map[string]*account),
		routes:         make(map[string]*route),
		requests:       make(map[uint64]*request),
		byCaller:       make(map[uint64]*request),
		keys:           make(map[string]*keyRecord),
		tracker:        config.NewTracker(),
		answers:        answerStore{maxBytes: DefaultAnswerBytes},
	}
	for _, opt := range opts {
		opt(m)
	}
	m.rng = rand.New(rand.NewPCG(m.seed, m.node.GetIncarnation()))
	m.replyRNG = rand.New(rand.NewPCG(m.seed, ^m.node.GetIncarnation()))
	m.pool = pool.New(pool.WithChooser(m.chooser), pool.WithLimits(m.poolLimits()))
	m.ledger = once.New(once.WithIncarnation(m.node.GetIncarnation()), once.WithSecret(m.secret))
	m.ledgers = map[uint64]*once.Ledger{m.ledger.Incarnation(): m.ledger}
	m.members = member.New(m.node)
	return m
}

// poolLimits fixes the limits of upstreams when the policy does not adapt
// them.
func (m *Model) poolLimits() pool.Limits {
	l := pool.DefaultLimits()
	if !m.policy.Adapt {
		l.Start, l.Max = m.policy.FixedLimit, m.policy.FixedLimit
	}
	return l
}

// Update takes in what happened at a time and returns what is to be done. The
// returned slice is valid until the next Update.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	m.now = max(now, m.now)
	m.cmds = m.cmds[:0]
	switch msg := msg.(type) {
	case TickMsg:
		m.tick()
	case SubmitMsg:
		m.submit(msg)
	case CancelMsg:
		m.cancel(msg)
	case TicketsMsg:
		m.issueTickets(msg)
	case *StepDoneMsg:
		m.stepDone(msg)
	case StepFailedMsg:
		m.stepFailed(msg)
	case UpstreamDownMsg:
		m.upstreamDown(msg)
	case CallDoneMsg:
		m.callDone(msg)
	case CallFailedMsg:
		m.callFailed(msg)
	case ClaimsMsg:
		m.claimsAnswered(msg)
	case ClaimsFailedMsg:
		m.claimsFailed(msg)
	case RelayTokensMsg:
		m.relayTokens(msg)
	case RelayDoneMsg:
		m.relayDone(msg)
	case RelayFailedMsg:
		m.relayFailed(msg)
	case ListMsg:
		m.listReceived(msg)
	default:
		m.updateCluster(msg)
	}
	return m.cmds
}

// updateCluster takes in what concerns the fleet and not a single request.
func (m *Model) updateCluster(msg Msg) {
	switch msg := msg.(type) {
	case HeadMsg:
		m.headReceived(msg)
	case ChangesMsg:
		m.changesReceived(msg)
	case FetchFailedMsg:
		m.fetching = false
	case NodesMsg:
		m.updateNodes(msg)
	case HeartbeatMsg:
		m.heartbeatReceived(msg)
	case ProposeMsg:
		m.propose(msg)
	case CommitMsg:
		m.commitDone(msg)
	case MarkLeavingMsg:
		m.markLeaving(msg.Upstream)
	case DrainMsg:
		m.startDrain()
	case HandoverMsg:
		m.inherit(msg)
	case HandedOverMsg:
		m.handoverDone(msg)
	}
}

// addCmd adds a command to what Update returns.
func (m *Model) addCmd(cmd Cmd) { m.cmds = append(m.cmds, cmd) }

// jitter returns a span drawn evenly from 0 up to span.
func (m *Model) jitter(span clock.Millis) clock.Millis {
	if span <= 0 {
		return 0
	}
	return clock.Millis(m.rng.Int64N(int64(span)))
}

// newBudget returns the retry budget of a lane.
func (m *Model) newBudget() *budget.Budget {
	if !m.policy.Budget {
		return budget.New(budget.WithShare(float64(m.policy.MaxCalls)), budget.WithBurst(1<<20))
	}
	return budget.New()
}
