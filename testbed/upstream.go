package testbed

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/standin"
)

// server serves a stand-in over HTTP.
type server struct {
	address string
	http    *http.Server
	wg      sync.WaitGroup
}

func serve(h http.Handler) (*server, error) { return serveAt("127.0.0.1:0", h) }

func serveAt(address string, h http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Mark(err, ErrTestbed)
	}
	s := &server{address: listener.Addr().String(), http: standin.NewServer(h)}
	s.wg.Go(func() { _ = s.http.Serve(listener) })
	return s, nil
}

func (s *server) close() {
	_ = s.http.Close()
	s.wg.Wait()
}

// Engine is a stand-in model engine of the testbed.
type Engine struct {
	*standin.Engine
	Name   string
	Pool   string
	config standin.EngineConfig
	server *server
	stop   context.CancelFunc
	wg     sync.WaitGroup
	starts int
}

func startEngine(name string, s Stage, i int) (*Engine, error) {
	c := s.Engine
	if len(s.Slowdowns) > 0 {
		slowdown := s.Slowdowns[i%len(s.Slowdowns)]
		c.Base = time.Duration(float64(c.Base) * slowdown)
		c.PerStep = time.Duration(float64(c.PerStep) * slowdown)
		c.PerPosition = time.Duration(float64(c.PerPosition) * slowdown)
	}
	e := &Engine{Name: name, Pool: s.Pool, config: c}
	return e, e.start("127.0.0.1:0")
}

func (e *Engine) start(address string) error {
	e.starts++
	e.Engine = standin.NewEngine(e.config)
	var err error
	if e.server, err = serveAt(address, e.Handler()); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	engine := e.Engine
	e.wg.Go(func() { _ = engine.Run(ctx) })
	return nil
}

// Kill stops the engine immediately, as a crash of its VM would.
func (e *Engine) Kill() {
	e.stop()
	e.server.close()
	e.wg.Wait()
}

// Restart starts the engine again at the same address, without its previous state.
func (e *Engine) Restart() error { return e.start(e.server.address) }

func (e *Engine) listing() pool.Listing {
	return pool.Listing{
		Name: e.Name, Incarnation: strconv.Itoa(e.starts), Group: e.Pool, Address: e.server.address,
		DataCentre: "dc-" + e.Pool,
	}
}

// Service is a stand-in plain service of the testbed.
type Service struct {
	*standin.Service
	Name   string
	server *server
}

func startService(name string, work time.Duration) (*Service, error) {
	s := &Service{Service: standin.NewService("order-desk", work), Name: name}
	var err error
	s.server, err = serve(s.Handler())
	return s, err
}

func (s *Service) listing() pool.Listing {
	return pool.Listing{Name: s.Name, Incarnation: "1", Group: "order-desk", Address: s.server.address}
}

// Address returns the address of the service.
func (s *Service) Address() string { return s.server.address }
