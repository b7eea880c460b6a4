package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/platform/platformpb"
)

// Deployment plays all upstreams of a scenario in one process: its engines at their real pace, and
// its plain service. Each has an address of its own on loopback.
type Deployment struct {
	scenario *lab.Scenario
	store    string
	yard     *Yard

	mu      sync.Mutex
	engines []*deployedEngine
	desks   []*Desk
	random  *rand.Rand
}

// deployedEngine is an engine at its address, and what ends its present run.
type deployedEngine struct {
	place, kind string
	address     string
	runs        int
	engine      *ChainEngine
	end         func()
}

// Harm is what a rehearsal does to some upstreams.
type Harm struct {
	Kind  lab.FaultKind `json:"kind"`
	Share float64  `json:"share"`
	X     float64  `json:"x"`
	XMost float64  `json:"x_most"`
	ForMS int64    `json:"for_ms"`
}

// Openness is what upstreams could have taken at a time.
type Openness struct {
	AtMS int64 `json:"at_ms"`
	// Desks have a place for another request. A stream of so many Tokens has memory at some
	// holder of each layer.
	Desks  int     `json:"desks"`
	Tokens float64 `json:"tokens"`
}

// NewDeployment starts the upstreams of a scenario, which tell the store of themselves until the
// context ends.
func NewDeployment(ctx context.Context, s *lab.Scenario, store string, seed uint64) (*Deployment, error) {
	d := &Deployment{scenario: s, store: store, yard: NewYard(), random: rand.New(rand.NewPCG(seed, 21))}
	for c, centre := range s.Fleet.DataCentres() {
		n := 0
		for _, kind := range slices.Sorted(maps.Keys(s.Fleet.Pipeline().Accelerators)) {
			for range s.Fleet.EngineCount(centre, kind) {
				n++
				e := &deployedEngine{place: centre, kind: kind}
				if err := d.start(ctx, e, fmt.Sprintf("127.2.%d.%d:0", c+1, n)); err != nil {
					return nil, err
				}
				d.engines = append(d.engines, e)
			}
		}
		for i := range s.Deployment.PlainService.PerDataCentre {
			if err := d.startDesk(ctx, centre, fmt.Sprintf("127.3.%d.%d:0", c+1, i+1)); err != nil {
				return nil, err
			}
		}
	}
	return d, nil
}

// start starts an engine: the first time anywhere at an address, later at the one that it had.
func (d *Deployment) start(ctx context.Context, e *deployedEngine, listen string) error {
	if e.address != "" {
		listen = e.address
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	e.runs++
	id := fmt.Sprintf("%s-%s-%d", e.place, e.address, e.runs)
	p := d.scenario.Fleet.Pipeline()
	e.engine = d.yard.NewEngine(id, e.address, &PipelineModel{
		Pipeline: p, Accelerator: p.Accelerators[e.kind], Slots: d.scenario.Slots, EventTokens: d.scenario.Load.TokensPerEvent,
	})
	server := NewServer(e.engine.Handler())
	life, end := context.WithCancel(ctx)
	engine := e.engine
	e.end = func() {
		end()
		d.yard.Remove(engine)
		// Whatever is open is broken off, as when a process is killed.
		_ = server.Close()
	}
	go func() { _ = server.Serve(listener) }()
	go BeatEvery(life, d.heartbeat(), d.store, id, func() *platformpb.Server { return engine.Entry(e.place) })
	return nil
}

func (d *Deployment) heartbeat() time.Duration { return d.scenario.Deployment.HeartbeatIntervalMS.Duration() }

func (d *Deployment) startDesk(ctx context.Context, centre, listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	plain := d.scenario.Deployment.PlainService
	desk := NewDesk("desk-"+address, address, millis(plain.ServiceTimeMS))
	desk.SetPlaces(plain.Slots, plain.QueueLength)
	d.desks = append(d.desks, desk)
	go func() { _ = NewServer(desk.Handler()).Serve(listener) }()
	go BeatEvery(ctx, d.heartbeat(), d.store, "desk-"+address, func() *platformpb.Server { return desk.Entry(centre) })
	return nil
}

// Handler takes harm at /harm, and tells at /open what upstreams could take now.
func (d *Deployment) Handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /harm", func(w http.ResponseWriter, r *http.Request) {
		var h Harm
		if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		d.harm(ctx, h)
	})
	mux.Handle("GET /open", jsonHandler(func() any { return d.Open() }))
	return mux
}

// Open tells what upstreams could take now.
func (d *Deployment) Open() Openness {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := Openness{AtMS: time.Now().UnixMilli()}
	for _, desk := range d.desks {
		if desk.Open() {
			o.Desks++
		}
	}
	left := make([]float64, d.scenario.Fleet.Pipeline().Layers)
	for _, e := range d.engines {
		from, to, tokens := e.engine.Serving()
		for layer := from; layer < to; layer++ {
			left[layer] = max(left[layer], tokens)
		}
	}
	o.Tokens = slices.Min(left)
	return o
}
