package dispatch

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairshare"
)

// noAccount names the common account of requests without one.
const noAccount = ""

// shareSalt makes the draw for fair shares independent of other draws of the same work.
const shareSalt = "fair share "

// fairSharesEnabled reports whether capacity is divided among client accounts.
func (m *Model) fairSharesEnabled() bool {
	return !m.policy.DisableFairShares && m.catalog != nil && m.catalog.HasAccounts()
}

// updateAccountNames determines the client accounts of the active configuration.
func (m *Model) updateAccountNames() {
	m.accountNames = map[string]bool{noAccount: true}
	m.catalog.EachAccount(func(a catalog.Account) { m.accountNames[a.Name] = true })
}

// observeShares passes the use by account of a service under contention to fair shares, and ends the
// contention otherwise.
func (m *Model) observeShares(service string) {
	use, contended := m.admission.Contention(m.now, service)
	if !contended || !m.fairSharesEnabled() || m.nodeCount.total == 0 {
		m.fairShares.EndContention(m.now, service)
		return
	}
	sum, times := make(fairshare.Usage), newReportTimes()
	for _, peer := range m.peerReports() {
		if !reportsService(peer.accounts, service) {
			continue
		}
		sum.AddAll(m.configured(peer.accounts))
		times.add(peer.receivedAt)
	}
	sum.AddAll(m.configured(m.ownAccountUse().Largest()))
	m.fairShares.Observe(m.now, service, fairshare.Load{
		Use: use, ByAccount: sum[service], Nodes: m.nodeCount.total, NewestReport: times.newest, OldestReport: times.oldest,
	})
}

// overFairShare reports whether a new request of a pipeline service is held back because its account
// is above its fair share. Requests that were sent before, and streams that have begun, are not.
func (m *Model) overFairShare(r *request) bool {
	if r.service.Pipeline == nil || r.attempts > 0 || r.answerBegun() || !m.fairSharesEnabled() {
		return false
	}
	r.shareDecision = m.fairShares.Admit(m.now, r.service.Name, r.shareRequest())
	if !r.shareDecision.Admitted && !r.wasOverShare {
		r.wasOverShare = true
		m.overShareCount++
	}
	return !r.shareDecision.Admitted
}

// shareRequest describes a request to fair shares. Its draw depends on its work, so that it is the
// same for each try of a client.
func (r *request) shareRequest() fairshare.Request {
	return fairshare.Request{
		Account: r.account.Name, Amount: r.memoryTokens * float64(r.service.Pipeline.Layers),
		Draw: hashPosition(shareSalt + string(r.work.Content.Bytes())),
	}
}

// recordShareSent counts a new request that is sent to engines.
func (m *Model) recordShareSent(r *request) {
	if r.attempts == 0 && m.fairSharesEnabled() {
		m.fairShares.RecordSent(r.service.Name, r.shareRequest())
	}
}

// overShareDecision returns the decision that holds a request back, if that is the reason.
func (r *request) overShareDecision(reason Reason) *fairshare.Decision {
	if reason != ReasonOverFairShare {
		return nil
	}
	decision := r.shareDecision
	return &decision
}

// expectedShareWait estimates the time until a request over its account's share has its turn, if the
// account goes on at the present rate. An account that falls below its share is limited for longer
// than clients wait.
func (m *Model) expectedShareWait(r *request) clock.Millis {
	held, level, ahead := m.capacityQueue(r.service.Name).lanes[heldLane], r.queueLevel(), 0
	for _, other := range m.requests {
		if other.capacity.reason != ReasonOverFairShare || other.account.Name != r.account.Name ||
			other.position.queue != held.returning && other.position.queue != held.fresh {
			continue
		}
		if other.position.level < level || other.position.level == level && (other.goesFirst() || !r.goesFirst()) {
			ahead++
		}
	}
	return r.shareDecision.NextIn + clock.Millis(ahead)*r.shareDecision.Interval
}

// sendFromHeldLane sends the waiting requests of the held lane that are no longer held back, in the
// order of the lane. Unlike in other lanes, one that must go on waiting does not stop those behind it.
func (m *Model) sendFromHeldLane(service string, l capacityLane) []Cmd {
	var waiting []*request
	for _, r := range m.requests {
		if r.waits() && (r.position.queue == l.returning || r.position.queue == l.fresh) {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.position.level, b.position.level), compareFirst(a.goesFirst(), b.goesFirst()),
			cmp.Compare(a.position.ticket, b.position.ticket))
	})
	var cmds []Cmd
	remaining := sendsPerReview
	for _, r := range waiting {
		if remaining == 0 {
			break
		}
		if !r.waits() || m.heldBack(r) || m.overFairShare(r) {
			// A request that was refused in favour of another must not be sent any more.
			continue
		}
		next, sent := m.sendCapacityWaiter(r, service)
		cmds = append(cmds, next...)
		if sent {
			remaining--
		}
	}
	return cmds
}

// compareFirst orders true before false.
func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// refuseOverFairShare ends a request of an account above its fair share. It has not been sent
// anywhere, as the answer states.
func (m *Model) refuseOverFairShare(r *request) []Cmd {
	cmd := m.response(r.arrival.Request, http.StatusServiceUnavailable, ReasonOverFairShare, m.heldBackRetryAfter(r, r.shareDecision.Wait))
	cmd.OverShare = r.overShareDecision(ReasonOverFairShare)
	return m.respondOrAbort(r.arrival.Request, cmd, ReasonOverFairShare)
}

// FairShares summarises the division of capacity among client accounts, for metrics.
type FairShares struct {
	// HeldBack counts the requests that were held back, each once.
	HeldBack int `json:"held_back"`
	// Services are the services that are or were recently under contention.
	Services []fairshare.Summary `json:"services"`
}

// FairShares returns a summary of the division of capacity among client accounts.
func (m *Model) FairShares(now clock.Millis) FairShares {
	return FairShares{HeldBack: m.overShareCount, Services: m.fairShares.Summaries(now)}
}
