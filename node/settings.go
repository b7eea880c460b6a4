// Package node puts a relay node together: listeners, the followers of the
// store, the planner of layers, and a planned stop.
package node

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/peering"
	"github.com/hoistjunction/hoistjunction/settings"
)

// Settings are a node's settings.
type Settings struct {
	Name       string
	DataCentre string
	// FirstStart tells that the whole system starts for the first time.
	FirstStart bool
	LogLevel   string
	// GraceSeconds is how long a planned stop may take.
	GraceSeconds float64
	// Cores and MemoryMB are what the VM has, CoreShare the part of each core, and LinkMbps
	// what its link carries; 0 where that is not known.
	Cores     int
	MemoryMB  int
	CoreShare float64
	LinkMbps  float64

	CallerListen    string
	ReadinessListen string
	PeerListen      string
	// UsageListen is the UDP address for word of what others have in use.
	UsageListen string
	// PeerSeeds are addresses where other nodes may be.
	PeerSeeds       []string
	MetricsListen   string
	PlatformAddress string

	// KeysFailClosed tells whether requests with keys are refused once the
	// configuration may be older than KeysMaxAge.
	KeysFailClosed bool
	KeysMaxAge     clock.Millis
	// ConfigDeadline is within what time a change of the configuration must be in force
	// everywhere, and LeavingDeadline within what time an upstream that leaves must get
	// no more work.
	ConfigDeadline  clock.Millis
	LeavingDeadline clock.Millis
	// RetryShare, as a part of the requests, and RetrySlack, as a number,
	// bound the repeats of all nodes together in each window.
	RetryWindowSeconds float64
	RetryShare         float64
	RetrySlack         float64
	// QuarantineSeconds is for how long a request that ends the upstreams that run it is
	// sent to none.
	QuarantineSeconds float64
}

const (
	maxNumber   = 1 << 30
	maxShare    = 1000.0
	msPerSecond = 1000
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
	set.Float("quarantine", "lasts_s", &s.QuarantineSeconds, 1, maxNumber, settings.WithDefault("3600"))
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

// Steps in which VMs are compared for what they can do for others.
const (
	capacityPerCore = 20
	mbpsPerCapacity = 10
)

// capacity is how much the VM can do for other nodes, in steps of a part of a core or of the
// link, whichever it has fewer of. VMs that differ by less count as alike.
func (s *Settings) capacity() uint32 {
	steps := s.CoreShare * float64(s.Cores) * capacityPerCore
	if s.LinkMbps > 0 {
		steps = min(steps, s.LinkMbps/mbpsPerCapacity)
	}
	return uint32(max(steps, 1))
}

// maxPeerWait is how long a node that starts alone may wait to know of others.
const maxPeerWait clock.Millis = 250

// startWait is how long a node that has just started may wait to know of others before it
// turns to the store.
func (s *Settings) startWait() clock.Millis {
	wait := peering.MaxStartWait(s.capacity())
	if s.FirstStart {
		return wait
	}
	return min(wait, maxPeerWait)
}

// grace is how long a planned stop may take.
func (s *Settings) grace() clock.Millis { return clock.Millis(s.GraceSeconds * msPerSecond) }

// quarantineDuration is for how long a request that ends upstreams is sent to none.
func (s *Settings) quarantineDuration() clock.Millis {
	return clock.Millis(s.QuarantineSeconds * msPerSecond)
}

// changeDeadline is within what time any change that the store has taken must be known.
func (s *Settings) changeDeadline() clock.Millis { return min(s.ConfigDeadline, s.LeavingDeadline) }

// keysMaxAge returns the bound in force; zero for none.
func (s *Settings) keysMaxAge() clock.Millis {
	if !s.KeysFailClosed {
		return 0
	}
	return s.KeysMaxAge
}
