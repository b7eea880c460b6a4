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
	// LoadsAtOnce is how many engines load at full speed from the store of weights.
	LoadsAtOnce int
	// HopMS is a pass between engines of a data centre, and CrossMS one to another.
	HopMS, CrossMS float64
	// LagMS bounds how late the list shows a change, and LapseMS is after how long an
	// engine that has ended goes from it.
	LagMS, LapseMS clock.Millis
	Faults         []Fault
	// Deployment is what a rehearsal with real processes has beside these.
	Deployment Deployment
}

// Nodes are the relay nodes, and what operators set for them.
type Nodes struct {
	// EachCentre is how many there are in each data centre.
	EachCentre int
	// LostShare is the part of datagrams that are lost.
	LostShare  float64
	RetryShare float64
	RetrySlack float64
	WindowMS   clock.Millis
	// MostAttempts bounds the upstreams that may run a request.
	MostAttempts int
}

// Load is what callers ask for.
type Load struct {
	// PerSecond is how many streams a second begin, ForMS for how long, and SettleMS what
	// passes before the first.
	PerSecond       float64
	ForMS, SettleMS clock.Millis
	// Prompt and Answer are mean sizes in tokens, and EventTokens how many an event has.
	Prompt, Answer, EventTokens int
	// AimMS is for the first event, GapMS for pauses, PatienceMS for the whole.
	AimMS, GapMS, PatienceMS clock.Millis
	// Returns is how often a caller comes back after a failure or a refusal.
	Returns int
	// Urgent is the part of callers with the first rank; the others have the second.
	Urgent float64
}

// Bounds of what a scenario may say.
const (
	mostCount = 1_000_000
	mostRate  = 1e6
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
	set.Int("engine", "slots", &s.Slots, 1, mostCount, settings.WithDefault("192"))
	set.Int("engine", "loads_at_once", &s.LoadsAtOnce, 1, mostCount, settings.WithDefault("6"))
	set.Float("links", "hop_ms", &s.HopMS, 0, mostRate, settings.WithDefault("0.2"))
	set.Float("links", "cross_ms", &s.CrossMS, 0, mostRate, settings.WithDefault("0.5"))
	set.Millis("list", "lag_ms", &s.LagMS, settings.WithDefault("800"))
	set.Millis("list", "lapse_ms", &s.LapseMS, settings.WithDefault("3600"))
	n := &s.Nodes
	set.Int("nodes", "each_data_centre", &n.EachCentre, 1, mostCount, settings.WithDefault("2"))
	set.Float("nodes", "datagrams_lost", &n.LostShare, 0, 1, settings.WithDefault("0"))
	set.Int("nodes", "attempts", &n.MostAttempts, 1, mostCount, settings.WithDefault("2"))
	set.Millis("retries", "window_ms", &n.WindowMS, settings.WithDefault("10000"))
	set.Float("retries", "share", &n.RetryShare, 0, 1, settings.WithDefault("0.2"))
	set.Float("retries", "slack", &n.RetrySlack, 0, mostRate, settings.WithDefault("200"))
	l := &s.Load
	set.Float("load", "streams_a_second", &l.PerSecond, 0, mostRate, settings.Required())
	set.Millis("load", "for_ms", &l.ForMS, settings.WithDefault("40000"))
	set.Millis("load", "settle_ms", &l.SettleMS, settings.WithDefault("10000"))
	set.Int("load", "prompt_tokens", &l.Prompt, 1, mostCount, settings.WithDefault("772"))
	set.Int("load", "answer_tokens", &l.Answer, 1, mostCount, settings.WithDefault("154"))
	set.Int("load", "event_tokens", &l.EventTokens, 1, mostCount, settings.WithDefault("2"))
	set.Millis("load", "aim_ms", &l.AimMS, settings.WithDefault("500"))
	set.Millis("load", "gap_ms", &l.GapMS, settings.WithDefault("200"))
	set.Millis("load", "patience_ms", &l.PatienceMS, settings.WithDefault("20000"))
	set.Int("load", "returns", &l.Returns, 0, mostCount, settings.WithDefault("1"))
	set.Float("load", "urgent", &l.Urgent, 0, 1, settings.WithDefault("1"))
}
