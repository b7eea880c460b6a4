package budget

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// askLifetime is how long a request for a loan is held for the next report of the lender.
	askLifetime = LoanLifetime
	// lendFactor is the number of times that all nodes together offer the retries requested: some
	// have none to lend, and some reports are lost.
	lendFactor = 2.0
)

// Ask requests retries from other nodes.
type Ask struct {
	Service string
	// BootID distinguishes the processes of the borrower, and SentAt is a time of its clock.
	BootID  uint64
	SentAt  clock.Millis
	Retries int
}

// Grant is the response to an Ask.
type Grant struct {
	Borrower string
	Service  string
	BootID   uint64
	AskedAt  clock.Millis
	Retries  int
	// LentOn reports whether the lender had borrowed the retries itself.
	LentOn bool
}

// Report is what a node sends to others about loans.
type Report struct {
	// Asks are the requests for this node and, of a hub to its leaves, for all that request
	// retries from the hub.
	Asks   []Ask
	Grants []Grant
}

// Exchange borrows retries for the budgets of one node from other nodes, and lends to them. It
// is not safe for concurrent use.
type Exchange struct {
	self   string
	bootID uint64
	random *rand.Rand
	// peers is the number of other nodes that receive a request, and hub reports whether this
	// node borrows for other nodes too.
	peers   int
	hub     bool
	budgets map[string]*LendingWindow
	// asks holds the last unanswered request by borrower and service.
	asks map[askKey]heldAsk
	// accepted holds the time of the last request answered by lender and service. Grants for
	// requests before earliestAsk are ignored.
	accepted    map[grantKey]clock.Millis
	earliestAsk clock.Millis
	counts      Counts
}

// Counts counts the retries of an Exchange since its start, for metrics.
type Counts struct {
	Requested int `json:"requested"`
	Lent      int `json:"lent"`
	Borrowed  int `json:"borrowed"`
	// LentOn are borrowed retries that a hub has lent on.
	LentOn int `json:"relent"`
}

// Counts returns the retries requested, lent, borrowed and lent on so far.
func (x *Exchange) Counts() Counts { return x.counts }

type askKey struct{ node, service string }

type grantKey struct {
	askKey
	lentOn bool
}

type heldAsk struct {
	Ask
	receivedAt clock.Millis
}

// NewExchange returns an Exchange for a process of a node.
func NewExchange(self string, bootID, seed uint64) *Exchange {
	return &Exchange{
		self: self, bootID: bootID, random: rand.New(rand.NewPCG(seed, bootID)),
		budgets: make(map[string]*LendingWindow), asks: make(map[askKey]heldAsk), accepted: make(map[grantKey]clock.Millis),
	}
}

// SetPeers sets the number of nodes that receive a request for retries, and whether this node
// borrows for other nodes too.
func (x *Exchange) SetPeers(peers int, hub bool) { x.peers, x.hub = peers, hub }

// Add adds the budget of a service.
func (x *Exchange) Add(service string, p *LendingWindow) { x.budgets[service] = p }

// Reset drops all loans, because the node's clock has not counted some time. It may be so long
// that the lenders use the retries again.
func (x *Exchange) Reset(now clock.Millis) {
	x.earliestAsk = now.Add(1)
	for _, p := range x.budgets {
		p.DropBorrowed()
	}
}

// Receive handles the report of another node. Asks are held until the next report of this node,
// and a newer one replaces them.
func (x *Exchange) Receive(now clock.Millis, from string, msg Report) {
	for _, a := range msg.Asks {
		x.asks[askKey{from, a.Service}] = heldAsk{Ask: a, receivedAt: now}
	}
	for _, g := range msg.Grants {
		x.accept(now, from, g)
	}
}

// accept adds a loan to the budget of its service. It ignores loans to other nodes and to earlier
// processes of this one, late ones, and copies.
func (x *Exchange) accept(now clock.Millis, from string, g Grant) {
	key := grantKey{askKey{from, g.Service}, g.LentOn}
	last, repeated := x.accepted[key]
	p := x.budgets[g.Service]
	until := g.AskedAt.Add(LoanLifetime)
	if p == nil || g.Borrower != x.self || g.BootID != x.bootID || now > until || g.AskedAt > now ||
		g.AskedAt < x.earliestAsk || repeated && g.AskedAt <= last {
		return
	}
	x.accepted[key] = g.AskedAt
	x.counts.Borrowed += g.Retries
	p.Borrow(Loan{Retries: g.Retries, Until: until, LentOn: g.LentOn})
}

// Report returns this node's next report. The second result is the report of a hub to its leaves;
// it includes the requests of those to which the hub has nothing to lend. With lends, the node's
// own retries are lent.
func (x *Exchange) Report(now clock.Millis, lends bool) (own, toLeaves Report) {
	x.expire(now)
	grants, unmet := x.answer(now, lends)
	own.Grants = grants
	if x.hub {
		toLeaves.Grants = grants
	}
	for _, service := range slices.Sorted(maps.Keys(x.budgets)) {
		wanted := x.budgets[service].Wanted(now)
		a := Ask{Service: service, BootID: x.bootID, SentAt: now, Retries: wanted}
		x.counts.Requested += wanted
		if wanted > 0 {
			own.Asks = append(own.Asks, a)
		}
		if a.Retries += unmet[service]; x.hub && a.Retries > 0 {
			toLeaves.Asks = append(toLeaves.Asks, a)
		}
	}
	return own, toLeaves
}

// answer answers the held requests and returns, by service, how many retries a hub lacks for
// them.
func (x *Exchange) answer(now clock.Millis, lends bool) (grants []Grant, unmet map[string]int) {
	unmet = make(map[string]int)
	held := slices.SortedFunc(maps.Keys(x.asks), func(a, b askKey) int {
		return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.service, b.service))
	})
	// The order is random, so that no borrower is always served first.
	x.random.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
	for _, key := range held {
		a, p := x.asks[key], x.budgets[key.service]
		if p == nil {
			continue
		}
		grant := Grant{Borrower: key.node, Service: key.service, BootID: a.BootID, AskedAt: a.SentAt}
		missing := a.Retries
		if x.hub {
			lentOn := grant
			lentOn.Retries, lentOn.LentOn = p.LendOn(now, missing), true
			x.counts.LentOn += lentOn.Retries
			grants = appendGrant(grants, lentOn)
			missing -= lentOn.Retries
		}
		if lends {
			grant.Retries = p.Lend(now, x.part(missing))
			x.counts.Lent += grant.Retries
			grants = appendGrant(grants, grant)
			missing -= grant.Retries
		}
		unmet[key.service] += missing
	}
	clear(x.asks)
	return grants, unmet
}

func appendGrant(grants []Grant, g Grant) []Grant {
	if g.Retries == 0 {
		return grants
	}
	return append(grants, g)
}

// part returns this node's part of the retries that a borrower requested from all its peers.
// Fractions are rounded at random.
func (x *Exchange) part(retries int) int {
	return min(retries, int(lendFactor*float64(retries)/float64(max(x.peers, 1))+x.random.Float64()))
}

// expire removes outdated requests, and the times of answers that are too late anyway.
func (x *Exchange) expire(now clock.Millis) {
	maps.DeleteFunc(x.asks, func(_ askKey, a heldAsk) bool { return now > a.receivedAt.Add(askLifetime) })
	maps.DeleteFunc(x.accepted, func(_ grantKey, askedAt clock.Millis) bool { return now > askedAt.Add(LoanLifetime) })
}
