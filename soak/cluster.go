// Package soak runs the real programs as separate processes on loopback, injects faults from
// outside, and checks the product's guarantees against what callers and upstreams observe.
//
// All random choices derive from one seed, so the faults of a failed run can be repeated. The
// timing of the processes differs from run to run.
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

// Size is the number of processes of each kind.
type Size struct {
	Nodes   int
	Engines int
	Callers int
}

// cluster is the set of processes and proxies of a run.
type cluster struct {
	binDir, logDir string
	size           Size
	store          *process.Process
	storeProxies   []*proxy
	nodes          []*process.Process
	engines        []*process.Process
	engineProxies  []*proxy
	// plainServices are all plain services that have been started. The last one is active.
	plainServices []*process.Process
	plainProxies  []*proxy
	// engineIDs are the upstream ids of the engines, and engineStarts counts the starts of
	// engines.
	engineIDs     []string
	engineStarts  atomic.Int64
	configVersion uint64
	// crashes records the upstreams that requests have crashed.
	crashes crashes
	// nodeMu and engineMu keep two fault series from restarting the same process at once.
	nodeMu, engineMu []sync.Mutex
}

// permanentKey and revocableKey are keys of the account of the most urgent requests. The key fault
// revokes and restores the latter. The others are keys of less urgent accounts, of which the crawler
// ignores Retry-After and repeats refused requests at once.
const (
	permanentKey = "kept"
	revocableKey = "key-2"
	labKey       = "lab.1"
	archiveKey   = "archive.2"
	crawlerKey   = "crawler.2"
)

// newCluster starts all processes. The returned cluster must be closed also after an error.
func newCluster(bin, dir string, size Size) (*cluster, error) {
	c := &cluster{
		binDir: bin, logDir: dir, size: size, configVersion: 1,
		nodeMu: make([]sync.Mutex, size.Nodes), engineMu: make([]sync.Mutex, size.Engines),
	}
	var err error
	if c.store, err = c.launch("store", "listening ", "standin-site", "store", "--key", permanentKey, "--key", revocableKey,
		"--key", labKey, "--key", archiveKey, "--key", crawlerKey); err != nil {
		return c, err
	}
	if err := c.startPlainService("desk-1"); err != nil {
		return c, err
	}
	for i := range size.Engines {
		link, err := newProxy()
		if err != nil {
			return c, err
		}
		c.engineProxies, c.engines, c.engineIDs = append(c.engineProxies, link), append(c.engines, nil), append(c.engineIDs, "")
		if err := c.startEngine(i); err != nil {
			return c, err
		}
	}
	for i := range size.Nodes {
		if err := c.startNode(i); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *cluster) launch(name, mark, program string, args ...string) (*process.Process, error) {
	log, err := os.OpenFile(filepath.Join(c.logDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p := process.New(name, log, append([]string{filepath.Join(c.binDir, program)}, args...),
		process.WithEnv(suspendedFileEnv+"="+c.suspendedTimePath(name)), process.WithCrashHandler(c.crashes.record))
	return p, p.Start(mark)
}

// startPlainService starts another plain service behind a proxy of its own. It replaces the
// last one.
func (c *cluster) startPlainService(id string) error {
	link, err := newProxy()
	if err != nil {
		return err
	}
	service, err := c.launch(id, "listening ", "standin-site", "desk", "--id", id, "--store", c.store.Address(), "--through", link.address())
	if err != nil {
		return err
	}
	link.setTarget(service.Address())
	c.plainServices, c.plainProxies = append(c.plainServices, service), append(c.plainProxies, link)
	return nil
}

// newIDEvery is the interval, counted in starts of all engines, at which an engine starts under
// a new id. At the other starts it keeps its id.
const newIDEvery = 3

// engineName returns the name of an engine's process.
func (c *cluster) engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// startEngine starts an engine behind the proxy address that it had before.
func (c *cluster) startEngine(i int) error {
	if c.engineStarts.Add(1)%newIDEvery == 0 || c.engineIDs[i] == "" {
		c.engineIDs[i] = fmt.Sprintf("engine-%d-%d", i, c.engineStarts.Load())
	}
	centre := fmt.Sprintf("dc-%d", i%2+1)
	p, err := c.launch(c.engineName(i), "listening ", "standin-site", "engine",
		"--id", c.engineIDs[i], "--centre", centre, "--store", c.store.Address(), "--through", c.engineProxies[i].address())
	if err != nil {
		return err
	}
	c.engines[i] = p
	c.engineProxies[i].setTarget(p.Address())
	return nil
}

func (c *cluster) startNode(i int) error {
	link, err := newProxy()
	if err != nil {
		return err
	}
	link.setTarget(c.store.Address())
	c.storeProxies = append(c.storeProxies, link)
	path := filepath.Join(c.logDir, fmt.Sprintf("node-%d.ini", i))
	text := fmt.Sprintf("[node]\nname = node-%d\ndata_centre = dc-%d\n[caller]\nlisten = 127.0.0.1:0\n[readiness]\nlisten = 127.0.0.1:0\n"+
		"[peer]\nlisten = 127.0.0.1:0\n[metrics]\nlisten = 127.0.0.1:0\n[platform]\naddress = %s\n"+
		"[waiting]\nmax_requests = 64\n", i, i%2+1, link.address())
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	p, err := c.launch(fmt.Sprintf("node-%d", i), " caller=", "hoistrelay-suspendable", "--settings", path)
	if err != nil {
		return err
	}
	c.nodes = append(c.nodes, p)
	return nil
}

// restart starts the program of a node again.
func (c *cluster) restart(p *process.Process) error { return p.Start(" caller=") }

// suspendedTimePath returns the path of the file with the time for which a process's VM was
// suspended.
func (c *cluster) suspendedTimePath(name string) string {
	return filepath.Join(c.logDir, name+".suspended")
}

func (c *cluster) close() {
	for _, p := range slices.Concat([]*process.Process{c.store}, c.plainServices, c.nodes, c.engines) {
		if p != nil {
			p.Kill()
			_ = p.Close()
		}
	}
	for _, l := range slices.Concat(c.plainProxies, c.engineProxies, c.storeProxies) {
		if l != nil {
			l.close()
		}
	}
}

// httpClient is the client for calls to the stand-ins.
var httpClient = &http.Client{Timeout: 5 * time.Second}

// writeKeys has the operator write a configuration with these client keys and those of the less
// urgent accounts. It returns the time of the store's acknowledgement.
func (c *cluster) writeKeys(keys ...string) (time.Time, error) {
	c.configVersion++
	url := fmt.Sprintf("http://%s/operator/%d?", c.store.Address(), c.configVersion)
	for _, key := range append(keys, labKey, archiveKey, crawlerKey) {
		url += "key=" + key + "&"
	}
	err := postJSON(url, nil)
	return time.Now(), err
}

func (c *cluster) setStoreFaults(f standin.RowStoreFaults) error {
	return postJSON("http://"+c.store.Address()+"/faults", f)
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

// executions returns the executions of each request as the plain services counted them. The
// counts of several plain services add up.
func (c *cluster) executions() (map[string]standin.ExecutionRecord, error) {
	total := make(map[string]standin.ExecutionRecord)
	for _, service := range c.plainServices {
		executions, err := fetchExecutions(service)
		if err != nil {
			return nil, err
		}
		for id, execution := range executions {
			execution.Executions += total[id].Executions
			total[id] = execution
		}
	}
	return total, nil
}

func fetchExecutions(service *process.Process) (map[string]standin.ExecutionRecord, error) {
	resp, err := httpClient.Get("http://" + service.Address() + "/runs")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	executions := make(map[string]standin.ExecutionRecord)
	return executions, json.NewDecoder(resp.Body).Decode(&executions)
}
