//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// Paths in the repository, whose root is the working directory.
const (
	program  = "target/hoistrelay"
	template = "deploy/relay.ini.tmpl"
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// node is one machine of the system. Its process is started again when it ends.
type node struct {
	bed      *bed
	name     string
	zone     string
	ip       string
	settings map[string]string
	ini      string
	log      string

	mu      sync.Mutex
	process *os.Process
	stopped bool
	held    bool
	// endedByItself counts the ends of the process that the case did not cause.
	endedByItself int
	running       sync.WaitGroup
}

func (b *bed) newNode(name, zone, ip string) (*node, error) {
	n := &node{bed: b, name: name, zone: zone, ip: ip, ini: filepath.Join(b.temp, name+".ini"), log: filepath.Join(b.temp, name+".log")}
	n.settings = map[string]string{
		"nodeName": name, "zone": zone, "ip": ip, "platform.address": b.storeAddress,
		"limits.cores": "1", "limits.cpuShare": "0.4", "limits.linkMbps": "1000.0", "limits.memoryMb": "284",
		"bounds.graceS": "8", "bounds.revokeFailClosed": "true", "bounds.revokeMs": "5000", "bounds.configApplyMs": "2000",
		"bounds.drainMs": "2000", "bounds.budgetWindowS": "10", "bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "198",
	}
	for _, name := range []string{"listen.front", "listen.readiness", "listen.control"} {
		port, err := freePort("tcp", ip)
		if err != nil {
			return nil, err
		}
		n.settings[name] = net.JoinHostPort(ip, port)
	}
	for name, network := range map[string]string{"portRange.0": "tcp", "portRange.1": "udp"} {
		port, err := freePort(network, ip)
		if err != nil {
			return nil, err
		}
		n.settings[name] = port
	}
	return n, nil
}

// freePort returns a port that the kernel has chosen.
func freePort(network, ip string) (string, error) {
	var address net.Addr
	if network == "udp" {
		c, err := net.ListenPacket(network, net.JoinHostPort(ip, "0"))
		if err != nil {
			return "", err
		}
		address = c.LocalAddr()
		_ = c.Close()
	} else {
		l, err := net.Listen(network, net.JoinHostPort(ip, "0"))
		if err != nil {
			return "", err
		}
		address = l.Addr()
		_ = l.Close()
	}
	_, port, err := net.SplitHostPort(address.String())
	return port, err
}

var gap = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)

// writeSettings fills the template of the deploy file as the platform does.
func (n *node) writeSettings(first bool) error {
	raw, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	var seeds []string
	for i, other := range n.bed.nodes {
		if i%3 == 0 && len(seeds) < 3 {
			seeds = append(seeds, other.settings["listen.control"])
		}
	}
	values := map[string]string{"bootstrap": fmt.Sprint(first), "seeds": strings.Join(seeds, ",")}
	for name, value := range n.settings {
		values[name] = value
	}
	var missing error
	text := gap.ReplaceAllStringFunc(string(raw), func(g string) string {
		value, ok := values[strings.Trim(g, "{}")]
		if !ok {
			missing = fmt.Errorf("no value for %s", g)
		}
		return value
	})
	if missing != nil {
		return missing
	}
	return os.WriteFile(n.ini, []byte(text), 0o600)
}

// start starts the node's process, and again whenever it ends.
func (n *node) start(first bool) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		for again := false; n.runOnce(first && !again); again = true {
			time.Sleep(restartDelay)
		}
	}()
}

// runOnce runs the process until it ends, and reports whether it is to be started again.
func (n *node) runOnce(first bool) (again bool) {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.bed.record("node_not_started node=%s error=%q", n.name, err)
		return false
	}
	defer func() { _ = log.Close() }()
	n.mu.Lock()
	if n.stopped || n.held {
		n.mu.Unlock()
		return !n.stopped
	}
	if err := n.writeSettings(first); err != nil {
		n.mu.Unlock()
		n.bed.record("node_not_started node=%s error=%q", n.name, err)
		return false
	}
	cmd := exec.Command(program, "--settings", n.ini)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		n.mu.Unlock()
		n.bed.record("node_not_started node=%s error=%q", n.name, err)
		return false
	}
	n.process = cmd.Process
	n.mu.Unlock()
	n.bed.record("node_started node=%s pid=%d", n.name, cmd.Process.Pid)
	err = cmd.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	caused := n.process == nil
	n.process = nil
	if !caused {
		n.endedByItself++
	}
	n.bed.record("node_ended node=%s by_itself=%t status=%q", n.name, !caused, fmt.Sprint(err))
	return !n.stopped
}

// kill kills the process, which is then started again.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.bed.record("kill node=%s", n.name)
		_ = n.process.Kill()
		n.process = nil
	}
}

// hold keeps the node down until release is called.
func (n *node) hold() {
	n.mu.Lock()
	n.held = true
	n.mu.Unlock()
	n.kill()
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held = false
}

// stop ends the process for good.
func (n *node) stop() {
	n.mu.Lock()
	n.stopped = true
	n.mu.Unlock()
	n.kill()
	n.running.Wait()
}

// ends returns how often the process has ended by itself.
func (n *node) ends() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endedByItself
}

// ready asks the node as the platform does.
func (n *node) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.settings["listen.readiness"] + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
