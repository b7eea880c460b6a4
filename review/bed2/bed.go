//go:build review2

package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The site of the cases: a host, a key and the figures of the small site file that the claims name.
const (
	siteHost  = "ficu95.example"
	siteKey   = "n2ctnfzs989anu6wsjnb"
	startWait = 15 * time.Second
	// longestCase is the time after which a case is given up.
	longestCase = 110 * time.Second
)

// errNotStarted means that a process did not say in time that it serves.
var errNotStarted = errors.New("a process did not start")

// bed holds the processes of a case and its record.
type bed struct {
	dir     string
	trouble bool
	began   time.Time
	// mu guards record and procs. closed reports that no process may be started any more.
	mu     sync.Mutex
	record *os.File
	procs  []*process
	closed bool
}

// process is a process that the bed has started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

func newBed(record string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: f}
	b.note("disruption: %v", b.trouble)
	go b.watch()
	return b, nil
}

// watch ends a case that is told to stop or that takes too long.
func (b *bed) watch() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
	case <-time.After(longestCase):
	}
	b.note("the case was stopped")
	b.close()
	os.Exit(exitCannot)
}

// note writes a line with the time since the begin of the case to the record and to standard output.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%7.3f  ", time.Since(b.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = b.record.WriteString(line)
	fmt.Print(line)
}

// start starts a process of the build of the deploy file.
func (b *bed) start(name, program string, args ...string) (*process, error) {
	p := &process{name: name, done: make(chan struct{})}
	out, err := os.CreateTemp(b.dir, name+"-*.log")
	if err != nil {
		return nil, err
	}
	p.log = out.Name()
	p.cmd = exec.Command(filepath.Join("target", program), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, errNotStarted
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	b.procs = append(b.procs, p)
	return p, nil
}

// await waits for a line of the process's log and returns the first group of the pattern in it.
func (p *process) await(pattern string) (string, error) {
	re := regexp.MustCompile(pattern)
	for deadline := time.Now().Add(startWait); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		raw, err := os.ReadFile(p.log)
		if err != nil {
			return "", err
		}
		if m := re.FindSubmatch(raw); m != nil {
			return string(m[len(m)-1]), nil
		}
	}
	return "", fmt.Errorf("%s: %w", p.name, errNotStarted)
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// close ends all processes and removes their files. BED_LOGS names a folder that keeps their logs.
func (b *bed) close() {
	b.mu.Lock()
	procs := b.procs
	b.procs, b.closed = nil, true
	b.mu.Unlock()
	for _, p := range procs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		if to := os.Getenv("BED_LOGS"); to != "" {
			if raw, err := os.ReadFile(p.log); err == nil {
				_ = os.WriteFile(filepath.Join(to, filepath.Base(p.log)), raw, 0o600)
			}
		}
	}
	_ = os.RemoveAll(b.dir)
}

// freeAddress returns a loopback address with a port that is free.
func freeAddress(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		return c.LocalAddr().String(), c.Close()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// startStore starts the platform's store with a configuration.
func (b *bed) startStore(config string) (address string, err error) {
	path := filepath.Join(b.dir, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return "", err
	}
	p, err := b.start("store", "review-2", "store", path)
	if err != nil {
		return "", err
	}
	return p.await(`listening (\S+)`)
}

// startServer starts a server.
func (b *bed) startServer(name, store string, flags ...string) (*process, error) {
	p, err := b.start(name, "review-2", append([]string{"server", "-id", name, "-store", store}, flags...)...)
	if err != nil {
		return nil, err
	}
	_, err = p.await(`listening (\S+)`)
	return p, err
}

// nodeAddresses are the addresses of a node.
type nodeAddresses struct{ caller, readiness, peer, usage, metrics string }

func newNodeAddresses() (nodeAddresses, error) {
	var a nodeAddresses
	for _, l := range []struct {
		network string
		to      *string
	}{{"tcp", &a.caller}, {"tcp", &a.readiness}, {"tcp", &a.peer}, {"udp", &a.usage}, {"tcp", &a.metrics}} {
		address, err := freeAddress(l.network)
		if err != nil {
			return a, err
		}
		*l.to = address
	}
	return a, nil
}

// startNode starts a relay node of a system that starts for the first time, and waits until it is ready.
func (b *bed) startNode(name, zone, store string, a nodeAddresses, seeds []string, more string) (*process, error) {
	p, err := b.launchNode(name, zone, store, a, seeds, true, more)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(startWait); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if ready(a.readiness) {
			return p, nil
		}
	}
	raw, _ := os.ReadFile(p.log)
	return nil, fmt.Errorf("%s: %w: %s", name, errNotStarted, raw[:min(len(raw), 2000)])
}

// launchNode starts a relay node with the settings of the deploy file, filled in with the figures of the
// small site. firstStart says whether the whole system starts for the first time.
func (b *bed) launchNode(name, zone, store string, a nodeAddresses, seeds []string, firstStart bool, more string) (*process, error) {
	template, err := os.ReadFile(filepath.Join("deploy", "relay.ini.tmpl"))
	if err != nil {
		return nil, err
	}
	udpHost, udpPort, _ := net.SplitHostPort(a.usage)
	_, metricsPort, _ := net.SplitHostPort(a.metrics)
	text := string(template)
	for field, value := range map[string]string{
		"nodeName": name, "zone": zone, "bootstrap": strconv.FormatBool(firstStart), "bounds.graceS": "8", "limits.cores": "1", "limits.cpuShare": "0.4",
		"limits.linkMbps": "1000.0", "limits.memoryMb": "284", "listen.front": a.caller, "listen.readiness": a.readiness,
		"listen.control": a.peer, "seeds": strings.Join(seeds, ","), "ip": udpHost, "portRange.1": udpPort, "portRange.0": metricsPort,
		"platform.address": store, "bounds.revokeFailClosed": "true", "bounds.revokeMs": "5000", "bounds.configApplyMs": "2000",
		"bounds.drainMs": "2000", "bounds.budgetWindowS": "10", "bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "198",
	} {
		text = strings.ReplaceAll(text, "{{"+field+"}}", value)
	}
	if left := regexp.MustCompile(`\{\{[^}]*\}\}`).FindString(text); left != "" {
		return nil, fmt.Errorf("the template has a field %s that the case does not fill in", left)
	}
	path := filepath.Join(b.dir, name+".ini")
	if err := os.WriteFile(path, append([]byte(text), more...), 0o600); err != nil {
		return nil, err
	}
	return b.start(name, "hoistrelay", "--settings", path)
}

// ready asks a node whether it is ready, as the platform does.
func ready(address string) bool {
	status, err := get(address, "/readiness")
	return err == nil && status == 200
}

// runs returns the ids of the requests that a server has run, in order.
func (p *process) runs() []string { return p.logged("runs") }

// logged returns the ids of the requests that a server has logged with a word, in order.
func (p *process) logged(word string) []string {
	raw, _ := os.ReadFile(p.log)
	var ids []string
	for line := range bytes.Lines(raw) {
		if id, ok := strings.CutPrefix(strings.TrimSpace(string(line)), word+" "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}
