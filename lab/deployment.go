package lab

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/settings"
)

// Deployment is what a rehearsal of a scenario with real processes has beside it. The emulator
// plays the streams of [load] alone.
type Deployment struct {
	// NodesByDataCentre counts the nodes by data centre; where it is empty each has Nodes.PerDataCentre.
	NodesByDataCentre map[string]int
	// RequestKinds are the kinds of request that callers send.
	RequestKinds []RequestKind
	// PlainService is the plain service, with so many upstreams in each data centre.
	PlainService PlainService
	// Accounts is how many client accounts there are; the first has half of all requests,
	// the next half of the rest, and so on.
	Accounts int
	// Subjects is how many subjects callers of a kind ask for.
	Subjects int
	// NodeMemoryMB is a node's memory, and RecoveryMS within what time all is well after a trouble.
	NodeMemoryMB int
	RecoveryMS   clock.Millis
	// HeartbeatIntervalMS is how often upstreams renew their entries, and StoreLatencyMS what the store takes
	// for an answer.
	HeartbeatIntervalMS, StoreLatencyMS clock.Millis
}

// StreamsPerSecond is how many requests of all kinds are asked for a second.
func (d *Deployment) RequestsPerSecond() float64 {
	sum := 0.0
	for _, k := range d.RequestKinds {
		sum += k.PerSecond
	}
	return sum
}

// PlainService is the plain service of a deployment.
type PlainService struct {
	PerDataCentre, Slots, QueueLength int
	ServiceTimeMS                     float64
}

// RequestKind is a kind of request.
type RequestKind struct {
	Name string
	// Mode is stream, once (it may run once) or read (it may be repeated).
	Mode string
	// StreamsPerSecond is how many are asked for a second.
	PerSecond float64
	// PromptTokens is the mean size of a stream's prompt in tokens, and Events how many events it
	// has on average.
	PromptTokens, Events int
	// FirstEventTargetMS is for the first event, or the answer; EventGapTargetMS for pauses between events.
	FirstEventTargetMS, EventGapTargetMS clock.Millis
	// DeadlineMS is how long a caller waits in all, and RouteTimeoutMS how long the operator wants a
	// try held; zero for as long.
	DeadlineMS, RouteTimeoutMS clock.Millis
	// MaxRetries is how often a caller tries again, and Rank its urgency, 0 being the first.
	MaxRetries, Priority int
}

// Ways in which a request may run.
const (
	ModeStream = "stream"
	ModeOnce   = "once"
	ModeRead   = "read"
)

// deploymentSections are read as they stand and checked in finish.
type deploymentSections struct{ nodes, requests map[string]string }

func (d *Deployment) declare(set *settings.Set) *deploymentSections {
	s := &deploymentSections{nodes: make(map[string]string), requests: make(map[string]string)}
	set.Map("nodes_in", s.nodes)
	set.Map("requests", s.requests)
	set.Int("plain", "each_data_centre", &d.PlainService.PerDataCentre, 0, maxCount, settings.WithDefault("1"))
	set.Int("plain", "slots", &d.PlainService.Slots, 1, maxCount, settings.WithDefault("6"))
	set.Int("plain", "queue", &d.PlainService.QueueLength, 0, maxCount, settings.WithDefault("24"))
	set.Float("plain", "work_ms", &d.PlainService.ServiceTimeMS, 0, maxRate, settings.WithDefault("15"))
	set.Int("callers", "accounts", &d.Accounts, 1, maxCount, settings.WithDefault("10"))
	set.Int("callers", "subjects", &d.Subjects, 1, maxCount, settings.WithDefault("60"))
	set.Int("nodes", "memory_mb", &d.NodeMemoryMB, 1, maxCount, settings.WithDefault("284"))
	set.Millis("nodes", "recovery_ms", &d.RecoveryMS, settings.WithDefault("12000"))
	set.Millis("list", "heartbeat_ms", &d.HeartbeatIntervalMS, settings.WithDefault("1200"))
	set.Millis("store", "answer_ms", &d.StoreLatencyMS, settings.WithDefault("4"))
	return s
}

func (s *Scenario) finishDeployment(sections *deploymentSections) error {
	d := &s.Deployment
	d.NodesByDataCentre = make(map[string]int)
	for centre, text := range sections.nodes {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || !slices.Contains(s.Fleet.DataCentres(), centre) {
			return errors.Wrapf(ErrScenario, "[nodes_in] %s = %q: write a data centre of [engines] and how many nodes it has", centre, text)
		}
		d.NodesByDataCentre[centre] = n
	}
	if len(d.NodesByDataCentre) == 0 {
		for _, centre := range s.Fleet.DataCentres() {
			d.NodesByDataCentre[centre] = s.Nodes.PerDataCentre
		}
	}
	for name, text := range sections.requests {
		kind, err := parseRequestKind(name, text)
		if err != nil {
			return err
		}
		d.RequestKinds = append(d.RequestKinds, kind)
	}
	if len(d.RequestKinds) == 0 {
		d.RequestKinds = []RequestKind{{
			Name: "stream", Mode: ModeStream, PerSecond: s.Load.StreamsPerSecond, PromptTokens: s.Load.PromptTokens, Events: s.Load.AnswerTokens / s.Load.TokensPerEvent,
			FirstEventTargetMS: s.Load.FirstEventTargetMS, EventGapTargetMS: s.Load.EventGapTargetMS, DeadlineMS: s.Load.TimeoutMS, MaxRetries: s.Load.MaxRetries,
		}}
	}
	slices.SortFunc(d.RequestKinds, func(a, b RequestKind) int { return cmp.Compare(a.Name, b.Name) })
	return nil
}

// parseRequestKind reads "stream per_s=30.1 prompt=800 events=77 aim=500 deadline=20000".
func parseRequestKind(name, text string) (RequestKind, error) {
	k := RequestKind{Name: name, PromptTokens: 1, Events: 1, FirstEventTargetMS: 500, DeadlineMS: 20_000}
	fault := func(remedy string) error {
		return errors.Wrapf(ErrScenario, "[requests] %s = %q: %s, as in stream per_s=30.1 prompt=800 events=77 aim=500 pause=200 deadline=20000 returns=1", name, text, remedy)
	}
	words := strings.Fields(text)
	if len(words) == 0 || !slices.Contains([]string{ModeStream, ModeOnce, ModeRead}, words[0]) {
		return k, fault("write stream, once or read first")
	}
	k.Mode = words[0]
	for _, word := range words[1:] {
		key, value, _ := strings.Cut(word, "=")
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || n < 0 || n > maxRate {
			return k, fault("write " + key + "= and a number that is not negative")
		}
		switch key {
		case "per_s":
			k.PerSecond = n
		case "prompt":
			k.PromptTokens = int(n)
		case "events":
			k.Events = int(n)
		case "aim":
			k.FirstEventTargetMS = clock.Millis(n)
		case "pause":
			k.EventGapTargetMS = clock.Millis(n)
		case "deadline":
			k.DeadlineMS = clock.Millis(n)
		case "route":
			k.RouteTimeoutMS = clock.Millis(n)
		case "returns":
			k.MaxRetries = int(n)
		case "rank":
			k.Priority = int(n)
		default:
			return k, fault("there is no " + key + "=")
		}
	}
	if k.PerSecond == 0 {
		return k, fault("write how many are asked for a second")
	}
	return k, nil
}
