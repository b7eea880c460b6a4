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

// Deployment runs stand-ins for all upstreams of a scenario in one process: the
// engines with realistic execution times, and the servers of the plain service.
// Each has its own loopback address.
type Deployment struct {
	scenario *lab.Scenario
	store    string
	registry *EngineRegistry

	mu           sync.Mutex
	engines      []*deployedEngine
	plainServers []*PlainServer
	random       *rand.Rand
}

// deployedEngine is an engine of a deployment. It keeps its address when it is
// started again.
type deployedEngine struct {
	centre, accelerator string
	address             string
	starts              int
	engine              *ChainEngine
	stop                func()
}

// FaultInjection is a fault that a rehearsal injects into some upstreams.
type FaultInjection struct {
	Kind lab.FaultKind `json:"kind"`
	// Share is the share of the engines that get the fault.
	Share float64 `json:"share"`
	// Magnitude is the strength of the fault, in the unit of its kind. If MaxMagnitude is larger,
	// the value of an advertised limit is drawn between the two.
	Magnitude    float64 `json:"x"`
	MaxMagnitude float64 `json:"x_most"`
	// ForMS is the duration of the fault, in ms.
	ForMS int64 `json:"for_ms"`
}

// FreeCapacity is the free capacity of a deployment's upstreams at one time.
type FreeCapacity struct {
	AtMS int64 `json:"at_ms"`
	// PlainServers is the number of plain servers with a free slot or a free place
	// in their queue.
	PlainServers int `json:"desks"`
	// Tokens is the size of the largest stream, in tokens, for which each layer
	// has a holder with enough free memory.
	Tokens float64 `json:"tokens"`
}

// NewDeployment starts the upstreams of a scenario. They send heartbeats to the
// store until ctx is cancelled.
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

// startEngine starts an engine, on its previous address if it had one and on
// listen otherwise.
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
	running, cancel := context.WithCancel(ctx)
	engine := e.engine
	e.stop = func() {
		cancel()
		d.registry.Remove(engine)
		// Close also closes open connections, as when a process is killed.
		_ = server.Close()
	}
	go func() { _ = server.Serve(listener) }()
	go SendHeartbeatsEvery(running, d.heartbeatInterval(), d.store, id, func() *platformpb.Server { return engine.Entry(e.centre) })
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
	server := NewPlainServer("desk-"+address, address, millis(plain.ServiceTimeMS))
	server.SetSlots(plain.Slots, plain.QueueLength)
	d.plainServers = append(d.plainServers, server)
	go func() { _ = NewServer(server.Handler()).Serve(listener) }()
	go SendHeartbeatsEvery(ctx, d.heartbeatInterval(), d.store, "desk-"+address, func() *platformpb.Server { return server.Entry(centre) })
	return nil
}

// Handler returns the HTTP handler of fault injection at /harm and of the free
// capacity at /open.
func (d *Deployment) Handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /harm", func(w http.ResponseWriter, r *http.Request) {
		var f FaultInjection
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		d.injectFault(ctx, f)
	})
	mux.Handle("GET /open", jsonGetHandler(func() any { return d.Available() }))
	return mux
}

// Available returns the present free capacity of the upstreams.
func (d *Deployment) Available() FreeCapacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	free := FreeCapacity{AtMS: time.Now().UnixMilli()}
	for _, server := range d.plainServers {
		if server.Available() {
			free.PlainServers++
		}
	}
	perLayer := make([]float64, d.scenario.Fleet.Pipeline().Layers)
	for _, e := range d.engines {
		from, to, tokens := e.engine.FreeMemory()
		for layer := from; layer < to; layer++ {
			perLayer[layer] = max(perLayer[layer], tokens)
		}
	}
	free.Tokens = slices.Min(perLayer)
	return free
}
