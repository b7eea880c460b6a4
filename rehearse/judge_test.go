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

// asked returns requests of a kind and a subject each tenth of a second, of which some are served.
func asked(kind string, served func(i int) bool) []*Request {
	const lasts, perSecond = 20, 10
	var list []*Request
	for i := range lasts * perSecond {
		at := float64(i) / perSecond
		q := &Request{Kind: kind, Centre: "c", Subject: fmt.Sprint(kind, i%perSecond), Caller: fmt.Sprint(i % perSecond), At: at, EndS: at + 0.1, Outcome: lab.Failed}
		if served(i) {
			q.Outcome = lab.InTime
		}
		list = append(list, q)
	}
	return list
}

func judged(t *testing.T, faults []lab.Fault, requests ...[]*Request) *Report {
	s, err := lab.LoadScenario("../examples/rehearse/stalls.ini")
	if err != nil {
		t.Fatal(err)
	}
	s.Load.DurationMS, s.Faults = 20_000, faults
	l := &load{}
	for _, list := range requests {
		l.requests = append(l.requests, list...)
	}
	return judge(s, options{seed: 1}, l, nil)
}

func all(int) bool  { return true }
func none(int) bool { return false }

func TestVerdict(t *testing.T) {
	alone := lab.Fault{Kind: lab.NodeFreeze, At: 2000, Duration: 1000}
	for _, tt := range []struct {
		name   string
		report *Report
		want   []string
	}{
		{"all served", judged(t, nil, asked("a", all)), nil},
		{"one in fifty not", judged(t, nil, asked("a", func(i int) bool { return i%50 != 7 })), []string{"enough"}},
		{"not in trouble", judged(t, []lab.Fault{alone}, asked("a", func(i int) bool { return i < 20 || i > 40 })), nil},
		{"too long after", judged(t, []lab.Fault{alone}, asked("a", func(i int) bool { return i < 15 || i > 160 })), []string{"enough"}},
		{"a kind never", judged(t, nil, asked("a", all), asked("b", none)), []string{"enough", "kind b", "subject"}},
		{"one subject never", judged(t, nil, asked("a", func(i int) bool { return i%10 != 3 })), []string{"enough"}},
		{"four subjects never", judged(t, nil, asked("a", func(i int) bool { return i%10 > 3 })), []string{"enough", "caller", "subject"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := strings.Join(tt.report.Broken, "\n")
			if len(tt.report.Broken) != len(tt.want) {
				t.Errorf("got %q, want %v", got, tt.want)
			}
			for _, want := range tt.want {
				if !strings.Contains(got, want) {
					t.Errorf("got %q, want %q in it", got, want)
				}
			}
			if err := tt.report.Verdict(); errors.Is(err, ErrBroken) != (len(tt.want) > 0) {
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
	r := judge(s, options{seed: 1}, &load{requests: asked("a", none), lateMS: []float64{1, 40}}, nil)
	if err := r.Verdict(); !errors.Is(err, ErrNotValid) {
		t.Errorf("got %v, want %v", err, ErrNotValid)
	}
}

func TestRefusalsThatCouldBeServed(t *testing.T) {
	s, err := lab.LoadScenario("../examples/rehearse/stalls.ini")
	if err != nil {
		t.Fatal(err)
	}
	plain := &Request{Kind: "pickup-confirm"}
	for _, tt := range []struct {
		open []standin.Openness
		left int64
		want bool
	}{
		{[]standin.Openness{{AtMS: 90, Desks: 1}, {AtMS: 150}}, 500, false},
		{[]standin.Openness{{AtMS: 110}, {AtMS: 400, Desks: 1}}, 500, true},
		{[]standin.Openness{{AtMS: 110}, {AtMS: 400, Desks: 1}}, 200, false},
		{[]standin.Openness{{AtMS: 110, Tokens: 5000}}, 500, false},
	} {
		if got := couldServe(s, plain, Refusal{AtMS: 100, LeftMS: tt.left}, tt.open); got != tt.want {
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
		{"no programs", "../examples/rehearse/stalls.ini", []Option{WithPrograms("nowhere")}, ErrNotStarted},
		{"nothing to play", "../examples/rehearse/stalls.ini", []Option{WithScale(0)}, ErrScale},
		{"no such request", "testdata/bad_request.ini", nil, lab.ErrScenario},
		{"nodes nowhere", "testdata/bad_nodes.ini", nil, lab.ErrScenario},
	} {
		t.Run(tt.name, func(t *testing.T) {
			opts := append([]Option{WithLogs(t.TempDir()), WithTemplate("../deploy/relay.ini.tmpl"), WithLength(clock.Millis(100))}, tt.opts...)
			if _, err := Run(context.Background(), tt.scenario, opts...); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}
