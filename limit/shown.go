package limit

import (
	"cmp"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Shown is what operators are shown of one upstream's limit.
type Shown struct {
	Upstream string `json:"upstream"`
	// PerSecond is the limit, and AgeMS how long ago it was heard.
	PerSecond float64 `json:"per_second"`
	AgeMS     int64   `json:"age_ms"`
	// Owner is the node that was asked for permits last; empty for none yet.
	Owner string `json:"owner"`
	// Sent is what this node has sent in the last 4 s, and Given the permits that it has given
	// as the owner in that time, with what was sent without.
	Sent  int `json:"sent_in_4s"`
	Given int `json:"given_in_4s"`
	// Queue is how many permits all nodes wanted in vain in the 4 s before the last answer.
	Queue int `json:"queue"`
}

// Show returns the limits that hold, sorted by upstream.
func (k *Keeper) Show(now clock.Millis) []Shown {
	var list []Shown
	for id, s := range k.shares {
		if s.named.Rate == 0 {
			continue
		}
		shown := Shown{
			Upstream: id.String(), PerSecond: s.named.Rate, AgeMS: int64(now.Sub(s.named.At)), Owner: s.to,
			Sent: s.all.Sum(now), Queue: s.queue,
		}
		if u := k.owner.upstreams[id]; u != nil {
			shown.Given = u.sent.Sum(now)
		}
		list = append(list, shown)
	}
	slices.SortFunc(list, func(a, b Shown) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}
