// Package soak runs the real programs as separate processes on loopback, does
// harm to them from outside, and checks the promises from what callers and
// upstreams see.
//
// Everything that is drawn comes from one seed, so a seed that fails can be
// played again. The processes' own timing is not repeated exactly.
package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/internal/process"
	"github.com/hoistjunction/hoistjunction/standin"
)

// Size is how many processes of each kind there are.
type Size struct {
	Nodes   int
	Engines int
	Callers int
}

// world is everything that a run has started.
type world struct {
	bin, dir  string
	size      Size
	store     *process.Process
	storeLink []*proxy
	nodes     []*process.Process
	engines   []*process.Process
	links     []*proxy
	// desks are all that have been started, the last one in use.
	desks     []*process.Process
	deskLinks []*proxy
	// generation counts the starts of engines, and engineIDs are their ids.
	engineIDs  []string
	generation atomic.Int64
	version    uint64
	// ends are the upstreams that requests have ended.
	ends ends
	// nodeBusy and engineBusy keep two series from restarting the same process.
	nodeBusy, engineBusy []sync.Mutex
}

// keptKey is never taken away.
const keptKey = "kept"

// newWorld starts the processes.
func newWorld(bin, dir string, size Size) (*world, error) {
	w := &world{
		bin: bin, dir: dir, size: size, version: 1,
		nodeBusy: make([]sync.Mutex, size.Nodes), engineBusy: make([]sync.Mutex, size.Engines),
	}
	var err error
	if w.store, err = w.launch("store", "listening ", "standin-site", "store", "--key", keptKey, "--key", "key-2"); err != nil {
		return w, err
	}
	if err := w.startDesk("desk-1"); err != nil {
		return w, err
	}
	for i := range size.Engines {
		link, err := newProxy()
		if err != nil {
			return w, err
		}
		w.links, w.engines, w.engineIDs = append(w.links, link), append(w.engines, nil), append(w.engineIDs, "")
		if err := w.startEngine(i); err != nil {
			return w, err
		}
	}
	for i := range size.Nodes {
		if err := w.startNode(i); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) launch(name, mark, program string, args ...string) (*process.Process, error) {
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p := process.New(name, log, append([]string{filepath.Join(w.bin, program)}, args...),
		process.WithEnv(suspendedFile+"="+w.suspendedPath(name)), process.WithCrashHandler(w.ends.note))
	return p, p.Start(mark)
}

// startDesk starts another desk, behind a link of its own, in the place of the last.
func (w *world) startDesk(id string) error {
	link, err := newProxy()
	if err != nil {
		return err
	}
	desk, err := w.launch(id, "listening ", "standin-site", "desk", "--id", id, "--store", w.store.Address(), "--through", link.address())
	if err != nil {
		return err
	}
	link.setTarget(desk.Address())
	w.desks, w.deskLinks = append(w.desks, desk), append(w.deskLinks, link)
	return nil
}

// newID is at which of all starts of engines an engine gets an id of its own; at the others
// it starts again under the one that it had.
const newID = 3

// engineName is what the process of an engine is called.
func (w *world) engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// startEngine starts an engine behind its old address.
func (w *world) startEngine(i int) error {
	if w.generation.Add(1)%newID == 0 || w.engineIDs[i] == "" {
		w.engineIDs[i] = fmt.Sprintf("engine-%d-%d", i, w.generation.Load())
	}
	centre := fmt.Sprintf("dc-%d", i%2+1)
	p, err := w.launch(w.engineName(i), "listening ", "standin-site", "engine",
		"--id", w.engineIDs[i], "--centre", centre, "--store", w.store.Address(), "--through", w.links[i].address())
	if err != nil {
		return err
	}
	w.engines[i] = p
	w.links[i].setTarget(p.Address())
	return nil
}

func (w *world) startNode(i int) error {
	link, err := newProxy()
	if err != nil {
		return err
	}
	link.setTarget(w.store.Address())
	w.storeLink = append(w.storeLink, link)
	path := filepath.Join(w.dir, fmt.Sprintf("node-%d.ini", i))
	text := fmt.Sprintf("[node]\nname = node-%d\ndata_centre = dc-%d\n[caller]\nlisten = 127.0.0.1:0\n[readiness]\nlisten = 127.0.0.1:0\n"+
		"[peer]\nlisten = 127.0.0.1:0\n[metrics]\nlisten = 127.0.0.1:0\n[platform]\naddress = %s\n", i, i%2+1, link.address())
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	p, err := w.launch(fmt.Sprintf("node-%d", i), " caller=", "hoistrelay-suspendable", "--settings", path)
	if err != nil {
		return err
	}
	w.nodes = append(w.nodes, p)
	return nil
}

// restart starts a node's program again.
func (w *world) restart(p *process.Process) error { return p.Start(" caller=") }

// suspendedPath is the file with the time for which a process's VM was suspended.
func (w *world) suspendedPath(name string) string {
	return filepath.Join(w.dir, name+".suspended")
}

func (w *world) close() {
	for _, p := range slices.Concat([]*process.Process{w.store}, w.desks, w.nodes, w.engines) {
		if p != nil {
			p.Kill()
			_ = p.Close()
		}
	}
	for _, l := range slices.Concat(w.deskLinks, w.links, w.storeLink) {
		if l != nil {
			l.close()
		}
	}
}

// calls bounds the soak's own calls to the stand-ins.
var calls = &http.Client{Timeout: 5 * time.Second}

// setKeys has the operator write a configuration with other keys, and returns
// when the store had acknowledged it.
func (w *world) setKeys(keys ...string) (time.Time, error) {
	w.version++
	url := fmt.Sprintf("http://%s/operator/%d?", w.store.Address(), w.version)
	for _, key := range keys {
		url += "key=" + key + "&"
	}
	err := post(url, nil)
	return time.Now(), err
}

func (w *world) storeFaults(f standin.RowStoreFaults) error {
	return post("http://"+w.store.Address()+"/faults", f)
}

func post(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, err := calls.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("soak: %s: status %d", url, resp.StatusCode)
	}
	return nil
}

// runs asks the desks what they have run. A request that two of them have run counts
// twice.
func (w *world) runs() (map[string]standin.DeskRun, error) {
	all := make(map[string]standin.DeskRun)
	for _, desk := range w.desks {
		runs, err := runsOf(desk)
		if err != nil {
			return nil, err
		}
		for id, run := range runs {
			run.Runs += all[id].Runs
			all[id] = run
		}
	}
	return all, nil
}

func runsOf(desk *process.Process) (map[string]standin.DeskRun, error) {
	resp, err := calls.Get("http://" + desk.Address() + "/runs")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	runs := make(map[string]standin.DeskRun)
	return runs, json.NewDecoder(resp.Body).Decode(&runs)
}
