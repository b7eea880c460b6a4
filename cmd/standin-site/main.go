// Command standin-site plays a part of the users' platform, for tests,
// demonstrations and the fault soak: the store with the operator's
// configuration, an engine that runs pipelines by itself, or a plain service.
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
	Keys []string `arg:"--key,separate" help:"a key of the only client account"`
}

type serverCommand struct {
	ID      string        `arg:"--id,required"`
	Centre  string        `arg:"--centre" default:"dc-1" help:"data centre"`
	Store   string        `arg:"--store,required" help:"address of the store"`
	Through string        `arg:"--through" help:"address to advertise, if callers come through a proxy"`
	Work    time.Duration `arg:"--work" default:"10ms" help:"time of a request at a desk"`
}

type arguments struct {
	Store  *storeCommand  `arg:"subcommand:store"`
	Engine *serverCommand `arg:"subcommand:engine"`
	Desk   *serverCommand `arg:"subcommand:desk"`
	Listen string         `arg:"--listen" default:"127.0.0.1:0" help:"IP number and port; port 0 asks the kernel for one"`
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
	case args.Desk != nil:
		err = serveDesk(args.Listen, args.Desk)
	default:
		p.Fail("say what to play: store, engine or desk")
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
	mux.HandleFunc("POST /return", func(http.ResponseWriter, *http.Request) { operator.returned() })
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

// operator writes the configuration, and writes it again when the store has lost it.
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

// returned has the store come back from its copy.
func (o *operator) returned() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store.Restore()
	if !bytes.Equal(o.store.Value("op", "config"), o.newest) {
		o.store.Put("op", "config", o.newest)
	}
}

// bound reserves an address first, since a server must know its own.
func bound(listen string) (string, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func serveEngine(listen string, c *serverCommand) error {
	address, err := bound(listen)
	if err != nil {
		return err
	}
	engine := standin.NewChainEngine(c.ID, advertised(c, address), standin.WithCrash(end))
	go standin.SendHeartbeats(context.Background(), c.Store, c.ID, func() *platformpb.Server { return engine.Entry(c.Centre) })
	return standin.Serve(address, engine.Handler(), os.Stdout)
}

func serveDesk(listen string, c *serverCommand) error {
	address, err := bound(listen)
	if err != nil {
		return err
	}
	desk := standin.NewPlainServer(c.ID, advertised(c, address), c.Work, standin.WithCrash(end))
	go standin.SendHeartbeats(context.Background(), c.Store, c.ID, func() *platformpb.Server { return desk.Entry(c.Centre) })
	return standin.Serve(address, desk.Handler(), os.Stdout)
}

func advertised(c *serverCommand, address string) string {
	if c.Through != "" {
		return c.Through
	}
	return address
}

// ended is the exit code of a server that a request has ended.
const ended = 3

// end ends the process at once, as a crash does, and says by what.
func end(path string) {
	fmt.Println(standin.CrashedBy + path)
	os.Exit(ended)
}
