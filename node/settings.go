// Package node builds a relay node from its parts: the listeners, the followers of the store,
// the planner of layers and the planned stop.
package node

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/peering"
	"github.com/hoistjunction/hoistjunction/settings"
)

// Settings are the settings of a node.
type Settings struct {
	Name       string
	DataCentre string
	// FirstStart reports whether the whole system starts for the first time.
	FirstStart bool
	LogLevel   string
	// GraceSeconds is how long a planned stop may take.
	GraceSeconds float64
	// Cores and MemoryMB describe the VM, CoreShare is the usable part of each core, and
	// LinkMbps is the bandwidth of the VM's link; zero means unknown.
	Cores     int
	MemoryMB  int
	CoreShare float64
	LinkMbps  float64

	CallerListen    string
	ReadinessListen string
	PeerListen      string
	// UsageListen is the UDP address that receives the usage reports of other nodes.
	UsageListen string
	// PeerSeeds are addresses at which other nodes may listen.
	PeerSeeds       []string
	MetricsListen   string
	PlatformAddress string

	// KeysFailClosed reports whether requests with keys are refused once the configuration may
	// be older than KeysMaxAge.
	KeysFailClosed bool
	KeysMaxAge     clock.Millis
	// ConfigDeadline is the time within which a change of the configuration must be active on
	// all nodes. LeavingDeadline is the time within which all nodes must stop sending work to an
	// upstream that leaves.
	ConfigDeadline  clock.Millis
	LeavingDeadline clock.Millis
	// RetryShare, as a share of the requests, and RetrySlack, as a number of requests, bound the
	// retries of all nodes together in each window.
	RetryWindowSeconds float64
	RetryShare         float64
	RetrySlack         float64
	// QuarantineSeconds is how long a request that crashes the upstreams that execute it stays
	// in quarantine.
	QuarantineSeconds float64
	// SpreadCost is the mean of the random cost that nodes of a large data centre add to each
	// engine, in ms per token; zero for none.
	SpreadCost float64
	// WaitingRequests bounds the requests that wait for capacity, and WaitingKB the size of their
	// bodies; zero lets none wait.
	WaitingRequests int
	WaitingKB       int
	// ForwardedRequests bounds the requests of other nodes that this node serves at a time, for nodes
	// that reach no upstream; zero lets it serve none.
	ForwardedRequests int
	// Admission reports whether less urgent requests are held back under pressure. It takes effect
	// only on services whose requests differ in priority.
	Admission bool
	// AccountPriorities applies admission control also to services whose requests differ in priority
	// only by their client accounts. The part of the retry budget that is kept for urgent requests
	// follows the priorities of accounts in any case.
	AccountPriorities bool
	// FairShares reports whether requests of client accounts above their fair share are held back
	// while a pipeline service is under contention.
	FairShares bool
}

const (
	maxNumber = 1 << 30
	// maxWaitingRequests bounds the setting for waiting requests: each review visits all of them.
	// maxWaitingKB is half of the memory of the smallest VM.
	maxWaitingRequests = 4096
	// maxForwardedRequests bounds the setting for requests of other nodes.
	maxForwardedRequests = 4096
	maxWaitingKB         = 64 << 10
	maxShare             = 1000.0
	msPerSecond          = 1000
	// maxSpreadCost makes the choice of engines practically uniform, in ms per token.
	maxSpreadCost = 100.0
)

// Set declares every setting.
func (s *Settings) Set() *settings.Set {
	set := settings.NewSet()
	set.String("node", "name", &s.Name, settings.Required())
	set.String("node", "data_centre", &s.DataCentre, settings.Required())
	set.Bool("node", "first_start", &s.FirstStart, settings.WithDefault("false"))
	set.Float("node", "grace_s", &s.GraceSeconds, 0, maxNumber, settings.WithDefault("8"))
	set.Int("node", "cores", &s.Cores, 1, maxNumber, settings.WithDefault("1"))
	set.Int("node", "memory_mb", &s.MemoryMB, 1, maxNumber, settings.WithDefault("256"))
	set.Float("node", "core_share", &s.CoreShare, 0, maxNumber, settings.WithDefault("1"))
	set.Float("node", "link_mbps", &s.LinkMbps, 0, maxNumber, settings.WithDefault("0"))
	set.OneOf("log", "level", &s.LogLevel, []string{"debug", "info", "warn", "error"}, settings.WithDefault("info"))
	set.Address("caller", "listen", &s.CallerListen, settings.Required())
	set.Address("readiness", "listen", &s.ReadinessListen, settings.Required())
	set.Address("peer", "listen", &s.PeerListen, settings.Required())
	set.Address("usage", "listen", &s.UsageListen, settings.WithDefault("127.0.0.1:0"))
	set.Addresses("peer", "seeds", &s.PeerSeeds)
	set.Address("metrics", "listen", &s.MetricsListen, settings.Required())
	set.Address("platform", "address", &s.PlatformAddress, settings.Required())
	set.Bool("keys", "fail_closed", &s.KeysFailClosed, settings.WithDefault("true"))
	set.Millis("keys", "known_within_ms", &s.KeysMaxAge, settings.WithDefault("5000"))
	set.Millis("changes", "config_within_ms", &s.ConfigDeadline, settings.WithDefault("2000"))
	set.Millis("changes", "leaving_within_ms", &s.LeavingDeadline, settings.WithDefault("2000"))
	set.Float("retries", "window_s", &s.RetryWindowSeconds, 0, maxNumber, settings.WithDefault("10"))
	set.Float("retries", "share", &s.RetryShare, 0, maxShare, settings.WithDefault("0.2"))
	set.Float("retries", "slack", &s.RetrySlack, 0, maxNumber, settings.WithDefault("200"))
	set.Float("balancing", "spread_ms_per_token", &s.SpreadCost, 0, maxSpreadCost, settings.WithDefault("1"))
	set.Float("quarantine", "lasts_s", &s.QuarantineSeconds, 1, maxNumber, settings.WithDefault("3600"))
	set.Int("waiting", "max_requests", &s.WaitingRequests, 0, maxWaitingRequests, settings.WithDefault("0"))
	set.Int("waiting", "max_kb", &s.WaitingKB, 0, maxWaitingKB, settings.WithDefault("4096"))
	set.Int("forwarding", "max_requests", &s.ForwardedRequests, 0, maxForwardedRequests, settings.WithDefault("128"))
	set.Bool("admission", "enabled", &s.Admission, settings.WithDefault("true"))
	set.Bool("admission", "account_priorities", &s.AccountPriorities, settings.WithDefault("false"))
	set.Bool("fair_shares", "enabled", &s.FairShares, settings.WithDefault("false"))
	return set
}

// Load reads a settings file.
func Load(path string) (*Settings, *settings.Set, error) {
	s := &Settings{}
	set := s.Set()
	if err := set.Load(path); err != nil {
		return nil, nil, err
	}
	return s, set, nil
}

// Units of the capacity of a VM.
const (
	capacityPerCore = 20
	mbpsPerCapacity = 10
)

// capacity returns the capacity of the VM for other nodes: units of core time or of link
// bandwidth, whichever is smaller. VMs that differ by less than a unit have the same capacity.
func (s *Settings) capacity() uint32 {
	steps := s.CoreShare * float64(s.Cores) * capacityPerCore
	if s.LinkMbps > 0 {
		steps = min(steps, s.LinkMbps/mbpsPerCapacity)
	}
	return uint32(max(steps, 1))
}

// maxPeerWait bounds how long a node that starts in a running system waits until it has
// discovered other nodes.
const maxPeerWait clock.Millis = 250

// startWait returns how long a node that has just started may wait for other nodes before it
// reads the store itself.
func (s *Settings) startWait() clock.Millis {
	wait := peering.MaxStartWait(s.capacity())
	if s.FirstStart {
		return wait
	}
	return min(wait, maxPeerWait)
}

// grace returns how long a planned stop may take.
func (s *Settings) grace() clock.Millis { return clock.Millis(s.GraceSeconds * msPerSecond) }

// quarantineDuration returns how long a request that crashes upstreams stays in quarantine.
func (s *Settings) quarantineDuration() clock.Millis {
	return clock.Millis(s.QuarantineSeconds * msPerSecond)
}

// waitingBytes returns the bound on the bodies of the requests that wait for capacity.
func (s *Settings) waitingBytes() int { return s.WaitingKB << 10 }

// changeDeadline returns the time within which any change in the store must reach this node.
func (s *Settings) changeDeadline() clock.Millis { return min(s.ConfigDeadline, s.LeavingDeadline) }

// keysMaxAge returns the largest age of the configuration at which keys are accepted; zero for
// no bound.
func (s *Settings) keysMaxAge() clock.Millis {
	if !s.KeysFailClosed {
		return 0
	}
	return s.KeysMaxAge
}
