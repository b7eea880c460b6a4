package dispatch

import (
	"maps"
	"net/http"
	"slices"

	"github.com/hoistjunction/hoistjunction/admission"
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// updateAdmission applies the active configuration to admission control and fair shares. Admission
// control applies only to services whose requests may differ in priority. For fair shares, the load of
// all pipeline services is observed if there are client accounts.
func (m *Model) updateAdmission() {
	m.updateAccountNames()
	priorities := servicePriorities(m.catalog)
	if !m.policy.AccountPriorities {
		keepDifferingRoutes(m.catalog, priorities)
	}
	var observed []string
	if m.fairSharesEnabled() {
		observed = slices.Collect(maps.Keys(priorities))
	}
	if m.policy.DisableAdmission {
		priorities = nil
	}
	m.admission.SetPriorities(priorities, observed...)
}

// keepDifferingRoutes drops the priorities of all services whose routes have the same one.
func keepDifferingRoutes(c *catalog.Catalog, byService map[string][]int) {
	first, differ := make(map[string]int), make(map[string]bool)
	c.EachRoute(func(route *catalog.Route) {
		for _, target := range route.Targets {
			if target.Weight <= 0 {
				continue
			}
			if priority, known := first[target.Service]; known && priority != route.Priority {
				differ[target.Service] = true
			}
			first[target.Service] = route.Priority
		}
	})
	for name, priorities := range byService {
		if !differ[name] {
			byService[name] = priorities[:min(len(priorities), 1)]
		}
	}
}

// servicePriorities returns the priorities that requests of each pipeline service may have.
func servicePriorities(c *catalog.Catalog) map[string][]int {
	accounts := accountPriorities(c)
	byService := make(map[string]map[int]bool)
	c.EachRoute(func(route *catalog.Route) {
		for _, target := range route.Targets {
			s := c.Service(target.Service)
			if s == nil || s.Pipeline == nil || target.Weight <= 0 {
				continue
			}
			found := byService[s.Name]
			if found == nil {
				found = make(map[int]bool)
				byService[s.Name] = found
			}
			if route.Anonymous || !c.HasAccounts() {
				found[route.Priority] = true
				continue
			}
			maps.Copy(found, accounts.own)
			if accounts.ofRoute {
				found[route.Priority] = true
			}
		}
	})
	lists := make(map[string][]int, len(byService))
	for name, found := range byService {
		lists[name] = slices.Sorted(maps.Keys(found))
	}
	return lists
}

// accountSummary holds the priorities of the client accounts that have one. ofRoute reports whether
// some account has none, so that its requests have the priority of their route.
type accountSummary struct {
	own     map[int]bool
	ofRoute bool
}

// accountPriorities returns the priorities of the client accounts that have a key.
func accountPriorities(c *catalog.Catalog) accountSummary {
	summary := accountSummary{own: make(map[int]bool)}
	c.EachAccount(func(a catalog.Account) {
		if a.HasPriority {
			summary.own[a.Priority] = true
		} else {
			summary.ofRoute = true
		}
	})
	return summary
}

// observeLoad passes the load of the services to admission control and fair shares, as often as nodes
// share their usage.
func (m *Model) observeLoad() {
	if m.now < m.loadObservedAt.Add(shareInterval) {
		return
	}
	m.loadObservedAt = m.now
	for _, name := range m.admission.Services() {
		m.admission.Observe(m.now, name, m.serviceLoad(name))
		m.observeShares(name)
	}
}

// serviceLoad returns the load of a service's engines: the usage that other nodes reported and that
// of this node. It covers all data centres: while only the engines of this one are short of a layer,
// chains use those of others, and holding requests back would leave these idle. Engines that get no
// new work are left out with their usage.
func (m *Model) serviceLoad(name string) admission.Load {
	load := admission.Load{Layers: m.catalog.Service(name).Pipeline.Layers}
	load.NewestReport, load.OldestReport = m.peerReportTimes()
	for _, u := range m.byService[name] {
		if !u.acceptsWork() || u.unresponsive {
			continue
		}
		load.Engines = append(load.Engines, admission.Engine{
			Held: u.held(), Memory: u.memory, UsedMemory: u.reserved + u.peerUse.Memory,
			Slots: float64(u.entry.Slots), UsedSlots: float64(u.inFlight + u.peerUse.Streams),
		})
	}
	return load
}

// peerReportTimes returns when the newest and the oldest usage report of other nodes in use arrived;
// clock.Never if there is none.
func (m *Model) peerReportTimes() (newest, oldest clock.Millis) {
	times := newReportTimes()
	for _, peer := range m.peerUsage {
		times.add(peer.receivedAt)
	}
	return times.newest, times.oldest
}

// heldBack reports whether a new request of a pipeline service is held back in favour of more urgent
// ones. Requests that were sent before, and streams that have begun, are not: their share of the
// engines' work would be lost.
//
// Only the pressure is checked. Whether the predicted first event comes before the caller leaves is
// not.
func (m *Model) heldBack(r *request) bool {
	if r.service.Pipeline == nil || r.attempts > 0 || r.answerBegun() {
		return false
	}
	r.admissionDecision = m.admission.Admit(m.now, r.service.Name, r.priority(), hashPosition(admissionSalt+r.arrival.CallerID))
	return !r.admissionDecision.Admitted
}

// reportTimes are the arrivals of the newest and the oldest of several usage reports; clock.Never
// without any.
type reportTimes struct{ newest, oldest clock.Millis }

func newReportTimes() reportTimes { return reportTimes{newest: clock.Never, oldest: clock.Never} }

func (t *reportTimes) add(receivedAt clock.Millis) {
	t.newest = max(t.newest, receivedAt)
	if t.oldest == clock.Never || receivedAt < t.oldest {
		t.oldest = receivedAt
	}
}

// admissionSalt makes the draw for admission independent of the split of traffic among services,
// which uses the same id.
const admissionSalt = "admission "

// maxHeldBackRetryAfter bounds the Retry-After time of requests that were held back by admission
// control or fair shares. Pressure lasts as long as the burst of demand that causes it, which is
// longer than a coverage gap. A client that returns earlier is refused again, and it retries once.
const maxHeldBackRetryAfter clock.Millis = 10_000

// refuseHeldBack ends a request that was held back. It has not been sent anywhere, as the answer
// states.
func (m *Model) refuseHeldBack(r *request) []Cmd {
	cmd := m.response(r.arrival.Request, http.StatusServiceUnavailable, ReasonHeldBack, m.heldBackRetryAfter(r, r.admissionDecision.Wait))
	decision := r.admissionDecision
	cmd.HeldBack = &decision
	return m.respondOrAbort(r.arrival.Request, cmd, ReasonHeldBack)
}

// heldBackRetryAfter returns the Retry-After time of a request that was held back, from the expected
// time until it is admitted. It is spread over requests, so that they do not all return at once.
func (m *Model) heldBackRetryAfter(r *request, expected clock.Millis) clock.Millis {
	wait := clock.Millis(float64(expected) * (minOutageFactor + outageSpread*hashPosition(r.arrival.CallerID)))
	return m.capRetryAfter(r, min(max(wait, shortRetryAfter), maxHeldBackRetryAfter))
}

// Admission returns the pressure and the thresholds of the services with admission control.
func (m *Model) Admission(now clock.Millis) []admission.Summary { return m.admission.Summaries(now) }
