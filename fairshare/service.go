package fairshare

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// intendedUse is the used part of the capacity that the shares and their tolerance lead to. It is
	// above the use from which a service counts as under contention, and the rest has room for what
	// is admitted before the next reports arrive. Chains are built up to 0.94 of an engine's memory.
	intendedUse = 0.88
	// excessRate is the relative decrease of the rate at which limited accounts are admitted, per unit
	// of use above the intended one. While the engines are full, small accounts use less than they ask for,
	// and the shares that follow from their use are too large. minRatePart bounds the decrease.
	excessRate  = 8.0
	minRatePart = 0.2
	// limitedGrowth is the assumed ratio of what a limited account asks for to its use. With a ratio of
	// 1 shares would follow the random variation of the uses. Without a bound, what accounts do not ask
	// for would be unused.
	limitedGrowth = 2.0
	// maxSilence is the time without a report of another node after which nothing is held back, since
	// the node may be partitioned. Reports are sent each 0.3 s, and some are lost.
	maxSilence clock.Millis = 1500
	// warmUp is the time from the start of contention during which nothing is held back, since some
	// nodes have not reported yet.
	warmUp clock.Millis = 600
	// accountRetention is how long the accounts are kept after the end of contention. Contention that
	// returns within this time has the same cause.
	accountRetention clock.Millis = 5000
)

// service is the state of a service under contention.
type service struct {
	accounts map[string]*account
	// share is the largest fair share: that of all accounts that ask for as much.
	share float64
	// contendedSince is when the current series of observations began, and observedAt when the last
	// one was made.
	contendedSince clock.Millis
	observedAt     clock.Millis
	newestReport   clock.Millis
	oldestReport   clock.Millis
	// contended reports whether the series goes on.
	contended bool
}

func newService() *service { return &service{accounts: make(map[string]*account)} }

// observe adds an observation with a positive use.
func (s *service) observe(now clock.Millis, load Load) {
	if !s.contended {
		s.contended, s.contendedSince = true, now
	}
	s.observedAt, s.newestReport, s.oldestReport = now, load.NewestReport, load.OldestReport
	s.share = Level(intendedUse*load.capacity(), s.demands(load)) / (1 + tolerance)
	if now < s.contendedSince.Add(warmUp) {
		return
	}
	for name, use := range load.ByAccount {
		a := s.accounts[name]
		if a == nil {
			a = &account{}
			s.accounts[name] = a
		}
		a.observe(now, use, s.share, ratePart(load.Use)/float64(max(load.Nodes, 1)))
	}
	for name := range s.accounts {
		if _, ok := load.ByAccount[name]; !ok {
			delete(s.accounts, name)
		}
	}
}

// ratePart returns the part of the rate of limited accounts that is admitted at a use.
func ratePart(use float64) float64 {
	return min(max(1-excessRate*(use-intendedUse), minRatePart), 1)
}

// demands returns the estimated demands of the accounts: what they use or, if they are limited, a
// multiple of it, since what they would use is unknown.
func (s *service) demands(load Load) []float64 {
	capacity := load.capacity()
	list := make([]float64, 0, len(load.ByAccount))
	for name, use := range load.ByAccount {
		if a := s.accounts[name]; a != nil && a.limited {
			use = min(use*limitedGrowth, capacity)
		}
		list = append(list, use)
	}
	return list
}

// active reports whether requests may be held back: the service has been under contention for some
// time, and reports of other nodes are recent.
func (s *service) active(now clock.Millis) bool {
	return s.contended && now >= s.contendedSince.Add(warmUp) && now <= s.newestReport.Add(maxSilence)
}
