package limit

import (
	"cmp"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Summary is what operators are shown of one upstream's limit.
type Summary struct {
	Upstream string `json:"upstream"`
	// PerSecond is the limit, and AgeMillis how long ago it was heard.
	PerSecond float64 `json:"per_second"`
	AgeMillis int64   `json:"age_ms"`
	// Owner is the node that was asked for permits last; empty for none yet.
	Owner string `json:"owner"`
	// Sent is what this node has sent in the last 4 s, and Given the permits that it has given
	// as the owner in that time, with what was sent without.
	Sent    int `json:"sent_in_4s"`
	Granted int `json:"given_in_4s"`
	// Denied is how many permits all nodes wanted in vain in the 4 s before the last answer.
	Denied int `json:"queue"`
}

// Summaries returns the limits that hold, sorted by upstream.
func (k *Limiter) Summaries(now clock.Millis) []Summary {
	var list []Summary
	for id, s := range k.upstreams {
		if s.advertised.Rate == 0 {
			continue
		}
		shown := Summary{
			Upstream: id.String(), PerSecond: s.advertised.Rate, AgeMillis: int64(now.Sub(s.advertised.ReceivedAt)), Owner: s.granter,
			Sent: s.sentLocally.Sum(now), Denied: s.denied,
		}
		if u := k.owner.owned[id]; u != nil {
			shown.Granted = u.sent.Sum(now)
		}
		list = append(list, shown)
	}
	slices.SortFunc(list, func(a, b Summary) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}
