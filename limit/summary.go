package limit

import (
	"cmp"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Summary describes one upstream's limit, for operators.
type Summary struct {
	Upstream string `json:"upstream"`
	// PerSecond is the limit in requests a second. AgeMillis is the time since the upstream
	// advertised it.
	PerSecond float64 `json:"per_second"`
	AgeMillis int64   `json:"age_ms"`
	// Owner is the node that permits were last requested from; empty if none were requested
	// yet.
	Owner string `json:"owner"`
	// Sent is the number of requests that this node sent in the last 4 s. Granted is the number
	// of permits that it granted as the owner in that time, including requests that were sent
	// without one.
	Sent    int `json:"sent_in_4s"`
	Granted int `json:"given_in_4s"`
	// Denied is the number of permits that were denied to all nodes in the 4 s before the last
	// grant.
	Denied int `json:"queue"`
}

// Summaries returns the current limits, sorted by upstream.
func (l *Limiter) Summaries(now clock.Millis) []Summary {
	var list []Summary
	for id, s := range l.upstreams {
		if s.advertised.Rate == 0 {
			continue
		}
		summary := Summary{
			Upstream: id.String(), PerSecond: s.advertised.Rate, AgeMillis: int64(now.Sub(s.advertised.ReceivedAt)), Owner: s.granter,
			Sent: s.sentLocally.Sum(now), Denied: s.denied,
		}
		if u := l.owner.owned[id]; u != nil {
			summary.Granted = u.sent.Sum(now)
		}
		list = append(list, summary)
	}
	slices.SortFunc(list, func(a, b Summary) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}
