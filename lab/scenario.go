package lab

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/settings"
	"github.com/hoistjunction/hoistjunction/sizing"
)

// ErrScenario means that a scenario file says something that cannot be.
var ErrScenario = errors.New("lab: the scenario is not valid")

// Scenario is a system, its load and its troubles.
type Scenario struct {
	Fleet *sizing.Fleet
	Nodes Nodes
	Load  Load
	// Slots is how many streams an engine takes that begin there; it refuses more.
	Slots int
	// FullSpeedLoads is how many engines load at full speed from the store of weights.
	FullSpeedLoads int
	// LocalHopMS is a pass between engines of a data centre, and RemoteHopMS one to another.
	LocalHopMS, RemoteHopMS float64
	// ListLagMS bounds how late the list shows a change, and RemovalDelayMS is after how long an
	// engine that has ended goes from it.
	ListLagMS, RemovalDelayMS clock.Millis
	Faults                    []Fault
	// Deployment is what a rehearsal with real processes has beside these.
	Deployment Deployment
}

// Nodes are the relay nodes, and what operators set for them.
type Nodes struct {
	// PerDataCentre is how many there are in each data centre.
	PerDataCentre int
	// DatagramLoss is the part of datagrams that are lost.
	DatagramLoss  float64
	RetryShare    float64
	RetrySlack    float64
	RetryWindowMS clock.Millis
	// MaxAttempts bounds the upstreams that may run a request.
	MaxAttempts int
}

// Load is what callers ask for.
type Load struct {
	// StreamsPerSecond is how many streams a second begin, DurationMS for how long, and WarmupMS what
	// passes before the first.
	StreamsPerSecond     float64
	DurationMS, WarmupMS clock.Millis
	// PromptTokens and Answer are mean sizes in tokens, and TokensPerEvent how many an event has.
	PromptTokens, AnswerTokens, TokensPerEvent int
	// FirstEventTargetMS is for the first event, EventGapTargetMS for pauses, TimeoutMS for the whole.
	FirstEventTargetMS, EventGapTargetMS, TimeoutMS clock.Millis
	// MaxRetries is how often a caller comes back after a failure or a refusal.
	MaxRetries int
	// UrgentShare is the part of callers with the first rank; the others have the second.
	UrgentShare float64
}

// Bounds of what a scenario may say.
const (
	maxCount = 1_000_000
	maxRate  = 1e6
)

// LoadScenario reads a scenario file. Errors name the section, the key, the line and the remedy.
func LoadScenario(path string) (*Scenario, error) {
	s := &Scenario{Fleet: sizing.New()}
	faults := make(map[string]string)
	set := settings.NewSet()
	finish := s.Fleet.Declare(set)
	s.declare(set)
	sections := s.Deployment.declare(set)
	set.Map("faults", faults)
	if err := set.Load(path); err != nil {
		return nil, err
	}
	if err := errors.CombineErrors(finish(), s.finishDeployment(sections)); err != nil {
		return nil, err
	}
	for name, text := range faults {
		f, err := parseFault(name, text)
		if err != nil {
			return nil, err
		}
		s.Faults = append(s.Faults, f)
	}
	slices.SortFunc(s.Faults, func(a, b Fault) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Name, b.Name)) })
	return s, nil
}

// declare declares what a scenario has beside its fleet. Defaults are those of the users'
// smaller deployments.
func (s *Scenario) declare(set *settings.Set) {
	set.Int("engine", "slots", &s.Slots, 1, maxCount, settings.WithDefault("192"))
	set.Int("engine", "loads_at_once", &s.FullSpeedLoads, 1, maxCount, settings.WithDefault("6"))
	set.Float("links", "hop_ms", &s.LocalHopMS, 0, maxRate, settings.WithDefault("0.2"))
	set.Float("links", "cross_ms", &s.RemoteHopMS, 0, maxRate, settings.WithDefault("0.5"))
	set.Millis("list", "lag_ms", &s.ListLagMS, settings.WithDefault("800"))
	set.Millis("list", "lapse_ms", &s.RemovalDelayMS, settings.WithDefault("3600"))
	n := &s.Nodes
	set.Int("nodes", "each_data_centre", &n.PerDataCentre, 1, maxCount, settings.WithDefault("2"))
	set.Float("nodes", "datagrams_lost", &n.DatagramLoss, 0, 1, settings.WithDefault("0"))
	set.Int("nodes", "attempts", &n.MaxAttempts, 1, maxCount, settings.WithDefault("2"))
	set.Millis("retries", "window_ms", &n.RetryWindowMS, settings.WithDefault("10000"))
	set.Float("retries", "share", &n.RetryShare, 0, 1, settings.WithDefault("0.2"))
	set.Float("retries", "slack", &n.RetrySlack, 0, maxRate, settings.WithDefault("200"))
	l := &s.Load
	set.Float("load", "streams_a_second", &l.StreamsPerSecond, 0, maxRate, settings.Required())
	set.Millis("load", "for_ms", &l.DurationMS, settings.WithDefault("40000"))
	set.Millis("load", "settle_ms", &l.WarmupMS, settings.WithDefault("10000"))
	set.Int("load", "prompt_tokens", &l.PromptTokens, 1, maxCount, settings.WithDefault("772"))
	set.Int("load", "answer_tokens", &l.AnswerTokens, 1, maxCount, settings.WithDefault("154"))
	set.Int("load", "event_tokens", &l.TokensPerEvent, 1, maxCount, settings.WithDefault("2"))
	set.Millis("load", "aim_ms", &l.FirstEventTargetMS, settings.WithDefault("500"))
	set.Millis("load", "gap_ms", &l.EventGapTargetMS, settings.WithDefault("200"))
	set.Millis("load", "patience_ms", &l.TimeoutMS, settings.WithDefault("20000"))
	set.Int("load", "returns", &l.MaxRetries, 0, maxCount, settings.WithDefault("1"))
	set.Float("load", "urgent", &l.UrgentShare, 0, 1, settings.WithDefault("1"))
}
