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
	registry *EngineRegistry

	mu           sync.Mutex
	engines      []*deployedEngine
	plainServers []*PlainServer
	random       *rand.Rand
}

// deployedEngine is an engine at its address, and what ends its present run.
type deployedEngine struct {
	centre, accelerator string
	address             string
	starts              int
	engine              *ChainEngine
	stop                func()
}

// FaultInjection is what a rehearsal does to some upstreams.
type FaultInjection struct {
	Kind         lab.FaultKind `json:"kind"`
	Share        float64       `json:"share"`
	Magnitude    float64       `json:"x"`
	MaxMagnitude float64       `json:"x_most"`
	ForMS        int64         `json:"for_ms"`
}

// FreeCapacity is what upstreams could have taken at a time.
type FreeCapacity struct {
	AtMS int64 `json:"at_ms"`
	// PlainServers have a place for another request. A stream of so many Tokens has memory at some
	// holder of each layer.
	PlainServers int     `json:"desks"`
	Tokens       float64 `json:"tokens"`
}

// NewDeployment starts the upstreams of a scenario, which tell the store of themselves until the
// context ends.
func NewDeployment(ctx context.Context, s *lab.Scenario, store string, seed uint64) (*Deployment, error) {
	d := &Deployment{scenario: s, store: store, registry: NewEngineRegistry(), random: rand.New(rand.NewPCG(seed, 21))}
	for c, centre := range s.Fleet.DataCentres() {
		n := 0
		for _, kind := range slices.Sorted(maps.Keys(s.Fleet.Pipeline().Accelerators)) {
			for range s.Fleet.EngineCount(centre, kind) {
				n++
				e := &deployedEngine{centre: centre, accelerator: kind}
				if err := d.startEngine(ctx, e, fmt.Sprintf("127.2.%d.%d:0", c+1, n)); err != nil {
					return nil, err
				}
				d.engines = append(d.engines, e)
			}
		}
		for i := range s.Deployment.PlainService.PerDataCentre {
			if err := d.startPlainServer(ctx, centre, fmt.Sprintf("127.3.%d.%d:0", c+1, i+1)); err != nil {
				return nil, err
			}
		}
	}
	return d, nil
}

// startEngine starts an engine: the first time anywhere at an address, later at the one that it had.
func (d *Deployment) startEngine(ctx context.Context, e *deployedEngine, listen string) error {
	if e.address != "" {
		listen = e.address
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	e.starts++
	id := fmt.Sprintf("%s-%s-%d", e.centre, e.address, e.starts)
	p := d.scenario.Fleet.Pipeline()
	e.engine = d.registry.NewEngine(id, e.address, &PipelineModel{
		Pipeline: p, Accelerator: p.Accelerators[e.accelerator], Slots: d.scenario.Slots, EventTokens: d.scenario.Load.TokensPerEvent,
	})
	server := NewServer(e.engine.Handler())
	life, end := context.WithCancel(ctx)
	engine := e.engine
	e.stop = func() {
		end()
		d.registry.Remove(engine)
		// Whatever is open is broken off, as when a process is killed.
		_ = server.Close()
	}
	go func() { _ = server.Serve(listener) }()
	go SendHeartbeatsEvery(life, d.heartbeatInterval(), d.store, id, func() *platformpb.Server { return engine.Entry(e.centre) })
	return nil
}

func (d *Deployment) heartbeatInterval() time.Duration {
	return d.scenario.Deployment.HeartbeatIntervalMS.Duration()
}

func (d *Deployment) startPlainServer(ctx context.Context, centre, listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	plain := d.scenario.Deployment.PlainService
	desk := NewPlainServer("desk-"+address, address, millis(plain.ServiceTimeMS))
	desk.SetSlots(plain.Slots, plain.QueueLength)
	d.plainServers = append(d.plainServers, desk)
	go func() { _ = NewServer(desk.Handler()).Serve(listener) }()
	go SendHeartbeatsEvery(ctx, d.heartbeatInterval(), d.store, "desk-"+address, func() *platformpb.Server { return desk.Entry(centre) })
	return nil
}

// Handler takes harm at /harm, and tells at /open what upstreams could take now.
func (d *Deployment) Handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /harm", func(w http.ResponseWriter, r *http.Request) {
		var h FaultInjection
		if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		d.injectFault(ctx, h)
	})
	mux.Handle("GET /open", jsonGetHandler(func() any { return d.Available() }))
	return mux
}

// Available tells what upstreams could take now.
func (d *Deployment) Available() FreeCapacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := FreeCapacity{AtMS: time.Now().UnixMilli()}
	for _, desk := range d.plainServers {
		if desk.Available() {
			o.PlainServers++
		}
	}
	left := make([]float64, d.scenario.Fleet.Pipeline().Layers)
	for _, e := range d.engines {
		from, to, tokens := e.engine.FreeMemory()
		for layer := from; layer < to; layer++ {
			left[layer] = max(left[layer], tokens)
		}
	}
	o.Tokens = slices.Min(left)
	return o
}
