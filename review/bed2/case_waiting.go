//go:build review2

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// onceConfig is a configuration with a route of streams that may not be resumed, over a model of 12
// layers. An engine holds 8 of them at most.
const onceConfig = `{"version":7,"routes":[{"name":"r-fi6y7z5","host":"ficu95.example","pathPrefix":"/pufi791/","kind":"streaming",
"timeoutMs":20000,"targetLatencyMs":500,"priority":1,"service":"huvo11a","maxAttempts":2,"anonymous":false,"affinity":true,"streamResume":false,"gap_aim_ms":200}],
"services":[{"name":"huvo11a","healthPath":"/health","maxConnections":898,"protocol":"h1","tls":false,
"engine":{"slots":64,"kvTokenBytes":12000,"stride":1,"models":[{"name":"m0","pace":1.0,"load_s":1.0}],"step_ms":1.0,"read_per_s":250000.0,
"usual":{"prompt":772,"answer":154},"layers":12,"layer_mb":100.0,"kinds":[{"name":"small","mb":800.0,"pace":1.0,"read_x":1.0}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["` + siteKey + `"],"priority":1}]}`

// waiting lets requests wait for capacity at a node while two engines crash. A stream that may not be
// resumed must run once at most, and not at all if its client is told that it has not run.
func waiting(b *bed) (broken bool, err error) {
	const engines, longStreams, victims = 16, 24, 2
	const full, crashAt = 950 * time.Millisecond, 900 * time.Millisecond
	store, err := b.startStore(onceConfig)
	if err != nil {
		return false, err
	}
	servers := map[string]*process{}
	addresses := map[string]string{}
	for i := range engines {
		name := fmt.Sprintf("i-7f3a91%02d", i)
		if servers[name], err = b.start(name, "review-2", "engine", "-id", name, "-store", store); err != nil {
			return false, err
		}
		if addresses[name], err = servers[name].await(`listening (\S+)`); err != nil {
			return false, err
		}
	}
	var nodes [2]nodeAddresses
	for i := range nodes {
		if nodes[i], err = newNodeAddresses(); err != nil {
			return false, err
		}
	}
	for i, a := range nodes {
		if _, err := b.startNode(fmt.Sprintf("front-suwon-hall-%d", i+1), "suwon-hall", store, a, []string{nodes[0].peer, nodes[1].peer}, "\n[waiting]\nmax_requests = 64\n"); err != nil {
			return false, err
		}
	}
	if err := awaitStreams(nodes[:]); err != nil {
		return false, err
	}
	b.note("store, %d engines and two nodes are ready and serve", engines)
	// The nodes are then past their first window of retries.
	time.Sleep(13 * time.Second)
	var long []*attempt
	for i := range longStreams {
		at, err := request(nodes[0].caller, fmt.Sprintf("a1c41d07be2a%04x", i), fmt.Sprintf("/pufi791/long/%d", i))
		if err != nil {
			return false, err
		}
		long = append(long, at)
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	var crash []*process
	for _, s := range servers {
		b.note("engine %s runs %d streams", s.name, count(s, long, "/long/"))
		if len(crash) < 2 && count(s, long, "/long/") > 0 {
			crash = append(crash, s)
		}
	}
	for _, address := range addresses {
		resp, err := http.Get(fmt.Sprintf("http://%s/taken?ms=%d", address, full.Milliseconds()))
		if err != nil {
			return false, err
		}
		_ = resp.Body.Close()
	}
	fullAt := time.Now()
	b.note("the engines are full for %v", full)
	var attempts []*attempt
	for i := range victims {
		at, err := request(nodes[0].caller, fmt.Sprintf("9c41d07be2a3%04x", i), fmt.Sprintf("/pufi791/once/%d", i))
		if err != nil {
			return false, err
		}
		attempts = append(attempts, at)
	}
	time.Sleep(time.Until(fullAt.Add(crashAt)))
	if b.trouble {
		for _, s := range crash {
			s.signal(syscall.SIGKILL)
			b.note("engine %s is killed", s.name)
		}
	}
	for _, at := range attempts {
		<-at.done
	}
	time.Sleep(2 * time.Second)
	for _, at := range attempts {
		var ran []string
		for _, s := range servers {
			for _, id := range s.runs() {
				if id == at.id {
					ran = append(ran, s.name)
				}
			}
		}
		refused := slices.Contains([]int{408, 421, 429, 503}, at.status)
		broken = broken || len(ran) > 1 || refused && len(ran) > 0
		b.note("%s: sent %.3f s after the engines were full, status %d after %.3f s, %d events, run %d times by %v: %v", at.id, at.sentAt.Sub(fullAt).Seconds(), at.status, at.endedAt.Sub(at.sentAt).Seconds(), strings.Count(at.body, "\n\n"), len(ran), ran, at.err)
	}
	return broken, nil
}

// request sends a request for a stream to a node on a new connection.
func request(address, id, path string) (*attempt, error) {
	conn, err := connect(address)
	if err != nil {
		return nil, err
	}
	return send(conn, id, path, 20*time.Second), nil
}

// awaitStreams waits until each node serves a stream.
func awaitStreams(nodes []nodeAddresses) error {
	for i, a := range nodes {
		for n := 0; ; n++ {
			at, err := request(a.caller, fmt.Sprintf("b%03x%012x", i, n), "/pufi791/once/first")
			if err != nil {
				return err
			}
			<-at.done
			if at.err == nil && at.status == http.StatusOK {
				break
			}
			if n == 100 {
				return fmt.Errorf("node %d serves no stream", i+1)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
