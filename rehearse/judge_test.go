package rehearse

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/standin"
)

// requestsOfKind returns requests of a kind and a subject each tenth of a second, of which some are served.
func requestsOfKind(kind string, served func(i int) bool) []*Request {
	const lasts, perSecond = 20, 10
	var list []*Request
	for i := range lasts * perSecond {
		at := float64(i) / perSecond
		q := &Request{Kind: kind, DataCentre: "c", Subject: fmt.Sprint(kind, i%perSecond), Caller: fmt.Sprint(i % perSecond), StartS: at, EndS: at + 0.1, Outcome: lab.Failed}
		if served(i) {
			q.Outcome = lab.InTime
		}
		list = append(list, q)
	}
	return list
}

func evaluated(t *testing.T, faults []lab.Fault, requests ...[]*Request) *Report {
	s, err := lab.LoadScenario("../examples/rehearse/stalls.ini")
	if err != nil {
		t.Fatal(err)
	}
	s.Load.DurationMS, s.Faults = 20_000, faults
	l := &loadGenerator{}
	for _, list := range requests {
		l.requests = append(l.requests, list...)
	}
	return evaluate(s, options{seed: 1}, l, nil)
}

func servedAlways(int) bool { return true }
func servedNever(int) bool  { return false }

func TestVerdict(t *testing.T) {
	alone := lab.Fault{Kind: lab.NodeFreeze, At: 2000, Duration: 1000}
	for _, tt := range []struct {
		name   string
		report *Report
		want   []string
	}{
		{"all served", evaluated(t, nil, requestsOfKind("a", servedAlways)), nil},
		{"one in fifty not", evaluated(t, nil, requestsOfKind("a", func(i int) bool { return i%50 != 7 })), []string{"enough"}},
		{"not in trouble", evaluated(t, []lab.Fault{alone}, requestsOfKind("a", func(i int) bool { return i < 20 || i > 40 })), nil},
		{"too long after", evaluated(t, []lab.Fault{alone}, requestsOfKind("a", func(i int) bool { return i < 15 || i > 160 })), []string{"enough"}},
		{"a kind never", evaluated(t, nil, requestsOfKind("a", servedAlways), requestsOfKind("b", servedNever)), []string{"enough", "kind b", "subject"}},
		{"one subject never", evaluated(t, nil, requestsOfKind("a", func(i int) bool { return i%10 != 3 })), []string{"enough"}},
		{"four subjects never", evaluated(t, nil, requestsOfKind("a", func(i int) bool { return i%10 > 3 })), []string{"enough", "caller", "subject"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := strings.Join(tt.report.BrokenPromises, "\n")
			if len(tt.report.BrokenPromises) != len(tt.want) {
				t.Errorf("got %q, want %v", got, tt.want)
			}
			for _, want := range tt.want {
				if !strings.Contains(got, want) {
					t.Errorf("got %q, want %q in it", got, want)
				}
			}
			if err := tt.report.Verdict(); errors.Is(err, ErrPromiseBroken) != (len(tt.want) > 0) {
				t.Errorf("got verdict %v", err)
			}
		})
	}
}

func TestBusyMachineGetsNoVerdict(t *testing.T) {
	s, err := lab.LoadScenario("../examples/rehearse/stalls.ini")
	if err != nil {
		t.Fatal(err)
	}
	r := evaluate(s, options{seed: 1}, &loadGenerator{requests: requestsOfKind("a", servedNever), lateMS: []float64{1, 40}}, nil)
	if err := r.Verdict(); !errors.Is(err, ErrInvalid) {
		t.Errorf("got %v, want %v", err, ErrInvalid)
	}
}

func TestRefusalsThatCouldBeServed(t *testing.T) {
	s, err := lab.LoadScenario("../examples/rehearse/stalls.ini")
	if err != nil {
		t.Fatal(err)
	}
	plain := &Request{Kind: "pickup-confirm"}
	for _, tt := range []struct {
		open []standin.FreeCapacity
		left int64
		want bool
	}{
		{[]standin.FreeCapacity{{AtMS: 90, PlainServers: 1}, {AtMS: 150}}, 500, false},
		{[]standin.FreeCapacity{{AtMS: 110}, {AtMS: 400, PlainServers: 1}}, 500, true},
		{[]standin.FreeCapacity{{AtMS: 110}, {AtMS: 400, PlainServers: 1}}, 200, false},
		{[]standin.FreeCapacity{{AtMS: 110, Tokens: 5000}}, 500, false},
	} {
		if got := couldServe(s, plain, Refusal{AtMS: 100, RemainingMS: tt.left}, tt.open); got != tt.want {
			t.Errorf("%+v, %d ms left: got %v, want %v", tt.open, tt.left, got, tt.want)
		}
	}
}

func TestBadInput(t *testing.T) {
	for _, tt := range []struct {
		name, scenario string
		opts           []Option
		want           error
	}{
		{"no programs", "../examples/rehearse/stalls.ini", []Option{WithBinDir("nowhere")}, ErrNotStarted},
		{"nothing to play", "../examples/rehearse/stalls.ini", []Option{WithScale(0)}, ErrScale},
		{"no such request", "testdata/bad_request.ini", nil, lab.ErrScenario},
		{"nodes nowhere", "testdata/bad_nodes.ini", nil, lab.ErrScenario},
	} {
		t.Run(tt.name, func(t *testing.T) {
			opts := append([]Option{WithLogDir(t.TempDir()), WithSettingsTemplate("../deploy/relay.ini.tmpl"), WithLoadDuration(clock.Millis(100))}, tt.opts...)
			if _, err := Run(context.Background(), tt.scenario, opts...); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}
