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

// cluster is everything that a run has started.
type cluster struct {
	binDir, logDir string
	size           Size
	store          *process.Process
	storeProxies   []*proxy
	nodes          []*process.Process
	engines        []*process.Process
	engineProxies  []*proxy
	// plainServices are all that have been started, the last one in use.
	plainServices []*process.Process
	plainProxies  []*proxy
	// generation counts the starts of engines, and engineIDs are their ids.
	engineIDs     []string
	engineStarts  atomic.Int64
	configVersion uint64
	// crashes are the upstreams that requests have ended.
	crashes crashes
	// nodeMu and engineMu keep two series from restarting the same process.
	nodeMu, engineMu []sync.Mutex
}

// permanentKey is never taken away.
const permanentKey = "kept"

// newCluster starts the processes.
func newCluster(bin, dir string, size Size) (*cluster, error) {
	w := &cluster{
		binDir: bin, logDir: dir, size: size, configVersion: 1,
		nodeMu: make([]sync.Mutex, size.Nodes), engineMu: make([]sync.Mutex, size.Engines),
	}
	var err error
	if w.store, err = w.launch("store", "listening ", "standin-site", "store", "--key", permanentKey, "--key", "key-2"); err != nil {
		return w, err
	}
	if err := w.startPlainService("desk-1"); err != nil {
		return w, err
	}
	for i := range size.Engines {
		link, err := newProxy()
		if err != nil {
			return w, err
		}
		w.engineProxies, w.engines, w.engineIDs = append(w.engineProxies, link), append(w.engines, nil), append(w.engineIDs, "")
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

func (w *cluster) launch(name, mark, program string, args ...string) (*process.Process, error) {
	log, err := os.OpenFile(filepath.Join(w.logDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p := process.New(name, log, append([]string{filepath.Join(w.binDir, program)}, args...),
		process.WithEnv(suspendedFileEnv+"="+w.suspendedTimePath(name)), process.WithCrashHandler(w.crashes.record))
	return p, p.Start(mark)
}

// startPlainService starts another desk, behind a link of its own, in the place of the last.
func (w *cluster) startPlainService(id string) error {
	link, err := newProxy()
	if err != nil {
		return err
	}
	desk, err := w.launch(id, "listening ", "standin-site", "desk", "--id", id, "--store", w.store.Address(), "--through", link.address())
	if err != nil {
		return err
	}
	link.setTarget(desk.Address())
	w.plainServices, w.plainProxies = append(w.plainServices, desk), append(w.plainProxies, link)
	return nil
}

// newIDEvery is at which of all starts of engines an engine gets an id of its own; at the others
// it starts again under the one that it had.
const newIDEvery = 3

// engineName is what the process of an engine is called.
func (w *cluster) engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// startEngine starts an engine behind its old address.
func (w *cluster) startEngine(i int) error {
	if w.engineStarts.Add(1)%newIDEvery == 0 || w.engineIDs[i] == "" {
		w.engineIDs[i] = fmt.Sprintf("engine-%d-%d", i, w.engineStarts.Load())
	}
	centre := fmt.Sprintf("dc-%d", i%2+1)
	p, err := w.launch(w.engineName(i), "listening ", "standin-site", "engine",
		"--id", w.engineIDs[i], "--centre", centre, "--store", w.store.Address(), "--through", w.engineProxies[i].address())
	if err != nil {
		return err
	}
	w.engines[i] = p
	w.engineProxies[i].setTarget(p.Address())
	return nil
}

func (w *cluster) startNode(i int) error {
	link, err := newProxy()
	if err != nil {
		return err
	}
	link.setTarget(w.store.Address())
	w.storeProxies = append(w.storeProxies, link)
	path := filepath.Join(w.logDir, fmt.Sprintf("node-%d.ini", i))
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
func (w *cluster) restart(p *process.Process) error { return p.Start(" caller=") }

// suspendedTimePath is the file with the time for which a process's VM was suspended.
func (w *cluster) suspendedTimePath(name string) string {
	return filepath.Join(w.logDir, name+".suspended")
}

func (w *cluster) close() {
	for _, p := range slices.Concat([]*process.Process{w.store}, w.plainServices, w.nodes, w.engines) {
		if p != nil {
			p.Kill()
			_ = p.Close()
		}
	}
	for _, l := range slices.Concat(w.plainProxies, w.engineProxies, w.storeProxies) {
		if l != nil {
			l.close()
		}
	}
}

// httpClient bounds the soak's own calls to the stand-ins.
var httpClient = &http.Client{Timeout: 5 * time.Second}

// writeKeys has the operator write a configuration with other keys, and returns
// when the store had acknowledged it.
func (w *cluster) writeKeys(keys ...string) (time.Time, error) {
	w.configVersion++
	url := fmt.Sprintf("http://%s/operator/%d?", w.store.Address(), w.configVersion)
	for _, key := range keys {
		url += "key=" + key + "&"
	}
	err := postJSON(url, nil)
	return time.Now(), err
}

func (w *cluster) setStoreFaults(f standin.RowStoreFaults) error {
	return postJSON("http://"+w.store.Address()+"/faults", f)
}

func postJSON(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, err := httpClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("soak: %s: status %d", url, resp.StatusCode)
	}
	return nil
}

// executions asks the desks what they have run. A request that two of them have run counts
// twice.
func (w *cluster) executions() (map[string]standin.ExecutionRecord, error) {
	all := make(map[string]standin.ExecutionRecord)
	for _, desk := range w.plainServices {
		runs, err := fetchExecutions(desk)
		if err != nil {
			return nil, err
		}
		for id, run := range runs {
			run.Executions += all[id].Executions
			all[id] = run
		}
	}
	return all, nil
}

func fetchExecutions(desk *process.Process) (map[string]standin.ExecutionRecord, error) {
	resp, err := httpClient.Get("http://" + desk.Address() + "/runs")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	runs := make(map[string]standin.ExecutionRecord)
	return runs, json.NewDecoder(resp.Body).Decode(&runs)
}
