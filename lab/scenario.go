package lab

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/settings"
	"github.com/hoistjunction/hoistjunction/sizing"
)

// ErrScenario means that a scenario file has an invalid value.
var ErrScenario = errors.New("lab: the scenario is not valid")

// Scenario describes a system, its load and its faults.
type Scenario struct {
	Fleet *sizing.Fleet
	Nodes Nodes
	Load  Load
	// Slots is how many streams may begin at an engine at a time; it refuses more.
	Slots int
	// FullSpeedLoads is how many engines can load weights at the same time at full speed.
	FullSpeedLoads int
	// LocalHopMS and RemoteHopMS are the delays between two engines of one data centre and of
	// different data centres.
	LocalHopMS, RemoteHopMS float64
	// ListLagMS bounds the delay of changes in the engine list. RemovalDelayMS is how long the
	// entry of a crashed engine stays in the list.
	ListLagMS, RemovalDelayMS clock.Millis
	Faults                    []Fault
	// Deployment holds the settings that only a rehearsal with real processes uses.
	Deployment Deployment
}

// Nodes describes the relay nodes and their settings.
type Nodes struct {
	// PerDataCentre is the number of nodes in each data centre.
	PerDataCentre int
	// DatagramLoss is the share of datagrams that are lost.
	DatagramLoss  float64
	RetryShare    float64
	RetrySlack    float64
	RetryWindowMS clock.Millis
	// RequestWorkMS and EventWorkMS are the times for which a request and an event of a stream keep a
	// node's processor busy, in ms of the node's share of it; zero for a processor without bounds.
	RequestWorkMS, EventWorkMS float64
	// Cores is a node's share of a core, or the number of its cores.
	Cores float64
	// MaxAttempts bounds the upstreams that may execute a request.
	MaxAttempts int
}

// Load describes the requests of callers.
type Load struct {
	// StreamsPerSecond is the rate of new streams, DurationMS how long new streams arrive, and
	// WarmupMS the time before the first.
	StreamsPerSecond     float64
	DurationMS, WarmupMS clock.Millis
	// PromptTokens and AnswerTokens are mean sizes, and TokensPerEvent is the size of an event.
	PromptTokens, AnswerTokens, TokensPerEvent int
	// FirstEventTargetMS is the target for the first event, EventGapTargetMS for gaps between
	// events, and TimeoutMS the time limit for the whole request.
	FirstEventTargetMS, EventGapTargetMS, TimeoutMS clock.Millis
	// MaxRetries is how often a caller retries after a failure or a refusal.
	MaxRetries int
	// UrgentShare is the share of requests with the first priority; the others have the second.
	UrgentShare float64
}

// Bounds of values in scenario files.
const (
	maxCount = 1_000_000
	maxRate  = 1e6
)

// LoadScenario reads a scenario file. Errors name the section, the key, the line and a remedy.
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

// declare declares the settings of a scenario except those of its fleet. The defaults match the
// users' smaller deployments.
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
	set.Float("nodes", "request_work_ms", &n.RequestWorkMS, 0, maxRate, settings.WithDefault("0"))
	set.Float("nodes", "cores", &n.Cores, 0, maxCount, settings.WithDefault("0.4"))
	set.Float("nodes", "event_work_ms", &n.EventWorkMS, 0, maxRate, settings.WithDefault("0"))
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
