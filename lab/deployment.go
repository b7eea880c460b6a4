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

// Deployment holds the part of a scenario that only a rehearsal with real processes uses. The
// emulator runs only the streams of section [load].
type Deployment struct {
	// NodesByDataCentre is the number of nodes in each data centre. By default each has
	// Nodes.PerDataCentre nodes.
	NodesByDataCentre map[string]int
	// RequestKinds are the kinds of request that callers send.
	RequestKinds []RequestKind
	// PlainService describes the plain service.
	PlainService PlainService
	// Accounts is the number of client accounts. The first sends half of all requests, the
	// second half of the remaining ones, and so on.
	Accounts int
	// Subjects is the number of distinct subjects in requests of a kind.
	Subjects int
	// NodeMemoryMB is the memory of a node. RecoveryMS is the time after a fault within which
	// the system must have recovered.
	NodeMemoryMB int
	RecoveryMS   clock.Millis
	// HeartbeatIntervalMS is how often upstreams renew their entries, and StoreLatencyMS how
	// long the store takes to answer.
	HeartbeatIntervalMS, StoreLatencyMS clock.Millis
}

// RequestsPerSecond returns the rate of requests of all kinds.
func (d *Deployment) RequestsPerSecond() float64 {
	sum := 0.0
	for _, k := range d.RequestKinds {
		sum += k.PerSecond
	}
	return sum
}

// PlainService is the plain service of a deployment. Each of its upstreams has Slots slots and
// a queue, and takes ServiceTimeMS for a request.
type PlainService struct {
	PerDataCentre, Slots, QueueLength int
	ServiceTimeMS                     float64
}

// RequestKind describes one kind of request.
type RequestKind struct {
	Name string
	// Mode is ModeStream, ModeOnce or ModeRead.
	Mode string
	// PerSecond is the number of requests a second.
	PerSecond float64
	// PromptTokens is the mean size of a stream's prompt, and Events the mean number of its
	// events.
	PromptTokens, Events int
	// FirstEventTargetMS is the target for the first event or the response, and
	// EventGapTargetMS the target for gaps between events.
	FirstEventTargetMS, EventGapTargetMS clock.Millis
	// DeadlineMS is the caller's total time limit. RouteTimeoutMS is the time limit of a try
	// that is configured on the route; zero means DeadlineMS.
	DeadlineMS, RouteTimeoutMS clock.Millis
	// MaxRetries is the number of retries after the first try. Priority 0 is the most urgent.
	MaxRetries, Priority int
}

// Modes of execution: a stream of events, a request that may be executed only once, and a read,
// which may be repeated.
const (
	ModeStream = "stream"
	ModeOnce   = "once"
	ModeRead   = "read"
)

// deploymentSections are the sections that finishDeployment parses after loading.
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
	for dataCentre, text := range sections.nodes {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || !slices.Contains(s.Fleet.DataCentres(), dataCentre) {
			return errors.Wrapf(ErrScenario, "[nodes_in] %s = %q: write a data centre of [engines] and how many nodes it has", dataCentre, text)
		}
		d.NodesByDataCentre[dataCentre] = n
	}
	if len(d.NodesByDataCentre) == 0 {
		for _, dataCentre := range s.Fleet.DataCentres() {
			d.NodesByDataCentre[dataCentre] = s.Nodes.PerDataCentre
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

// parseRequestKind parses "stream per_s=30.1 prompt=800 events=77 aim=500 deadline=20000".
func parseRequestKind(name, text string) (RequestKind, error) {
	k := RequestKind{Name: name, PromptTokens: 1, Events: 1, FirstEventTargetMS: 500, DeadlineMS: 20_000}
	invalid := func(remedy string) error {
		return errors.Wrapf(ErrScenario, "[requests] %s = %q: %s, as in stream per_s=30.1 prompt=800 events=77 aim=500 pause=200 deadline=20000 returns=1", name, text, remedy)
	}
	fields := strings.Fields(text)
	if len(fields) == 0 || !slices.Contains([]string{ModeStream, ModeOnce, ModeRead}, fields[0]) {
		return k, invalid("write stream, once or read first")
	}
	k.Mode = fields[0]
	for _, field := range fields[1:] {
		key, value, _ := strings.Cut(field, "=")
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || n < 0 || n > maxRate {
			return k, invalid("write " + key + "= and a number that is not negative")
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
			return k, invalid("there is no " + key + "=")
		}
	}
	if k.PerSecond == 0 {
		return k, invalid("write per_s= and a rate greater than zero")
	}
	return k, nil
}
