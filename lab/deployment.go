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
	// NodesIn counts the nodes by data centre; where it is empty each has Nodes.EachCentre.
	NodesIn map[string]int
	// Requests are the kinds of request that callers send.
	Requests []RequestKind
	// Plain is the plain service, with so many upstreams in each data centre.
	Plain Plain
	// Accounts is how many client accounts there are; the first has half of all requests,
	// the next half of the rest, and so on.
	Accounts int
	// Subjects is how many subjects callers of a kind ask for.
	Subjects int
	// NodeMB is a node's memory, and RecoveryMS within what time all is well after a trouble.
	NodeMB     int
	RecoveryMS clock.Millis
	// HeartbeatMS is how often upstreams renew their entries, and StoreMS what the store takes
	// for an answer.
	HeartbeatMS, StoreMS clock.Millis
}

// PerSecond is how many requests of all kinds are asked for a second.
func (d *Deployment) PerSecond() float64 {
	sum := 0.0
	for _, k := range d.Requests {
		sum += k.PerSecond
	}
	return sum
}

// Plain is the plain service of a deployment.
type Plain struct {
	EachCentre, Slots, Queue int
	WorkMS                   float64
}

// RequestKind is a kind of request.
type RequestKind struct {
	Name string
	// How is stream, once (it may run once) or read (it may be repeated).
	How string
	// PerSecond is how many are asked for a second.
	PerSecond float64
	// Prompt is the mean size of a stream's prompt in tokens, and Events how many events it
	// has on average.
	Prompt, Events int
	// AimMS is for the first event, or the answer; PauseMS for pauses between events.
	AimMS, PauseMS clock.Millis
	// DeadlineMS is how long a caller waits in all, and RouteMS how long the operator wants a
	// try held; zero for as long.
	DeadlineMS, RouteMS clock.Millis
	// Returns is how often a caller tries again, and Rank its urgency, 0 being the first.
	Returns, Rank int
}

// Ways in which a request may run.
const (
	HowStream = "stream"
	HowOnce   = "once"
	HowRead   = "read"
)

// deploymentSections are read as they stand and checked in finish.
type deploymentSections struct{ nodes, requests map[string]string }

func (d *Deployment) declare(set *settings.Set) *deploymentSections {
	s := &deploymentSections{nodes: make(map[string]string), requests: make(map[string]string)}
	set.Map("nodes_in", s.nodes)
	set.Map("requests", s.requests)
	set.Int("plain", "each_data_centre", &d.Plain.EachCentre, 0, mostCount, settings.WithDefault("1"))
	set.Int("plain", "slots", &d.Plain.Slots, 1, mostCount, settings.WithDefault("6"))
	set.Int("plain", "queue", &d.Plain.Queue, 0, mostCount, settings.WithDefault("24"))
	set.Float("plain", "work_ms", &d.Plain.WorkMS, 0, mostRate, settings.WithDefault("15"))
	set.Int("callers", "accounts", &d.Accounts, 1, mostCount, settings.WithDefault("10"))
	set.Int("callers", "subjects", &d.Subjects, 1, mostCount, settings.WithDefault("60"))
	set.Int("nodes", "memory_mb", &d.NodeMB, 1, mostCount, settings.WithDefault("284"))
	set.Millis("nodes", "recovery_ms", &d.RecoveryMS, settings.WithDefault("12000"))
	set.Millis("list", "heartbeat_ms", &d.HeartbeatMS, settings.WithDefault("1200"))
	set.Millis("store", "answer_ms", &d.StoreMS, settings.WithDefault("4"))
	return s
}

func (s *Scenario) finishDeployment(sections *deploymentSections) error {
	d := &s.Deployment
	d.NodesIn = make(map[string]int)
	for centre, text := range sections.nodes {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || !slices.Contains(s.Fleet.Centres(), centre) {
			return errors.Wrapf(ErrScenario, "[nodes_in] %s = %q: write a data centre of [engines] and how many nodes it has", centre, text)
		}
		d.NodesIn[centre] = n
	}
	if len(d.NodesIn) == 0 {
		for _, centre := range s.Fleet.Centres() {
			d.NodesIn[centre] = s.Nodes.EachCentre
		}
	}
	for name, text := range sections.requests {
		kind, err := parseRequestKind(name, text)
		if err != nil {
			return err
		}
		d.Requests = append(d.Requests, kind)
	}
	if len(d.Requests) == 0 {
		d.Requests = []RequestKind{{
			Name: "stream", How: HowStream, PerSecond: s.Load.PerSecond, Prompt: s.Load.Prompt, Events: s.Load.Answer / s.Load.EventTokens,
			AimMS: s.Load.AimMS, PauseMS: s.Load.GapMS, DeadlineMS: s.Load.PatienceMS, Returns: s.Load.Returns,
		}}
	}
	slices.SortFunc(d.Requests, func(a, b RequestKind) int { return cmp.Compare(a.Name, b.Name) })
	return nil
}

// parseRequestKind reads "stream per_s=30.1 prompt=800 events=77 aim=500 deadline=20000".
func parseRequestKind(name, text string) (RequestKind, error) {
	k := RequestKind{Name: name, Prompt: 1, Events: 1, AimMS: 500, DeadlineMS: 20_000}
	fault := func(remedy string) error {
		return errors.Wrapf(ErrScenario, "[requests] %s = %q: %s, as in stream per_s=30.1 prompt=800 events=77 aim=500 pause=200 deadline=20000 returns=1", name, text, remedy)
	}
	words := strings.Fields(text)
	if len(words) == 0 || !slices.Contains([]string{HowStream, HowOnce, HowRead}, words[0]) {
		return k, fault("write stream, once or read first")
	}
	k.How = words[0]
	for _, word := range words[1:] {
		key, value, _ := strings.Cut(word, "=")
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || n < 0 || n > mostRate {
			return k, fault("write " + key + "= and a number that is not negative")
		}
		switch key {
		case "per_s":
			k.PerSecond = n
		case "prompt":
			k.Prompt = int(n)
		case "events":
			k.Events = int(n)
		case "aim":
			k.AimMS = clock.Millis(n)
		case "pause":
			k.PauseMS = clock.Millis(n)
		case "deadline":
			k.DeadlineMS = clock.Millis(n)
		case "route":
			k.RouteMS = clock.Millis(n)
		case "returns":
			k.Returns = int(n)
		case "rank":
			k.Rank = int(n)
		default:
			return k, fault("there is no " + key + "=")
		}
	}
	if k.PerSecond == 0 {
		return k, fault("write how many are asked for a second")
	}
	return k, nil
}
