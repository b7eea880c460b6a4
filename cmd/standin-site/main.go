// Command standin-site is a stand-in for one part of the users' platform, for tests,
// demonstrations and the fault soak: the store with the operator's configuration, an
// engine that passes requests along a pipeline itself, or a plain service.
package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
	"github.com/hoistjunction/hoistjunction/standin"
)

type storeCommand struct {
	Keys []string `arg:"--key,separate" help:"a key of a client account; lab.1 is a key of the account lab with priority 1"`
}

type serverCommand struct {
	ID      string        `arg:"--id,required"`
	Centre  string        `arg:"--centre" default:"dc-1" help:"data centre"`
	Store   string        `arg:"--store,required" help:"address of the store"`
	Through string        `arg:"--through" help:"address to advertise if callers connect through a proxy"`
	Work    time.Duration `arg:"--work" default:"10ms" help:"time that a plain service takes for a request"`
}

type arguments struct {
	Store   *storeCommand  `arg:"subcommand:store"`
	Engine  *serverCommand `arg:"subcommand:engine"`
	Service *serverCommand `arg:"subcommand:desk"`
	Listen  string         `arg:"--listen" default:"127.0.0.1:0" help:"IP address and port; port 0 lets the kernel choose a port"`
}

func main() {
	var args arguments
	p := arg.MustParse(&args)
	var err error
	switch {
	case args.Store != nil:
		err = serveStore(args.Listen, args.Store)
	case args.Engine != nil:
		err = serveEngine(args.Listen, args.Engine)
	case args.Service != nil:
		err = serveService(args.Listen, args.Service)
	default:
		p.Fail("missing subcommand: store, engine or desk")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-site:", err)
		os.Exit(1)
	}
}

func serveStore(listen string, c *storeCommand) error {
	store := standin.NewRowStore()
	operator := &operator{store: store}
	operator.write(standin.SiteConfig(1, c.Keys...))
	mux := http.NewServeMux()
	mux.Handle("/", store.Handler())
	mux.HandleFunc("POST /copy", func(http.ResponseWriter, *http.Request) { store.Backup() })
	mux.HandleFunc("POST /return", func(http.ResponseWriter, *http.Request) { operator.restoreStore() })
	mux.HandleFunc("POST /operator/{version}", func(w http.ResponseWriter, r *http.Request) {
		var version uint64
		if _, err := fmt.Sscan(r.PathValue("version"), &version); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		operator.write(standin.SiteConfig(version, r.URL.Query()["key"]...))
	})
	return standin.Serve(listen, mux, os.Stdout)
}

// operator writes the configuration to the store, and rewrites it after a store restore has lost it.
type operator struct {
	store  *standin.RowStore
	mu     sync.Mutex
	newest []byte
}

func (o *operator) write(config []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = config
	o.store.Put("op", "config", config)
}

// restoreStore restores the store from its backup and rewrites a lost configuration.
func (o *operator) restoreStore() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store.Restore()
	if !bytes.Equal(o.store.Value("op", "config"), o.newest) {
		o.store.Put("op", "config", o.newest)
	}
}

// reserveAddress returns an address with a free port, since a server needs its address before it listens.
func reserveAddress(listen string) (string, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func serveEngine(listen string, c *serverCommand) error {
	address, err := reserveAddress(listen)
	if err != nil {
		return err
	}
	engine := standin.NewChainEngine(c.ID, advertisedAddress(c, address), standin.WithCrash(crash),
		standin.WithExecutionHandler(func(id string) { fmt.Println(standin.ExecutedMark + id) }))
	go standin.SendHeartbeats(context.Background(), c.Store, c.ID, func() *platformpb.Server { return engine.Entry(c.Centre) })
	return standin.Serve(address, engine.Handler(), os.Stdout)
}

func serveService(listen string, c *serverCommand) error {
	address, err := reserveAddress(listen)
	if err != nil {
		return err
	}
	desk := standin.NewPlainServer(c.ID, advertisedAddress(c, address), c.Work, standin.WithCrash(crash))
	go standin.SendHeartbeats(context.Background(), c.Store, c.ID, func() *platformpb.Server { return desk.Entry(c.Centre) })
	return standin.Serve(address, desk.Handler(), os.Stdout)
}

func advertisedAddress(c *serverCommand, address string) string {
	if c.Through != "" {
		return c.Through
	}
	return address
}

// crashExitCode is the exit code of a server that was crashed by a request.
const crashExitCode = 3

// crash exits immediately, as a crash would, and prints the path of the request that caused it.
func crash(path string) {
	fmt.Println(standin.CrashedBy + path)
	os.Exit(crashExitCode)
}
