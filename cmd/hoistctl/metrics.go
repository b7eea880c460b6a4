package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/reachability"
)

// relayNodes are the relay nodes whose metrics a command prints.
type relayNodes struct {
	Metrics []string `arg:"positional,required" help:"metrics addresses of relay nodes, as ip:port"`
}

// print fetches the metrics of the nodes and writes them to standard output.
func (n *relayNodes) print(write func(out io.Writer, addresses []string, views []*relayMetrics) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	views, failed := fetchAllMetrics(ctx, n.Metrics)
	return errors.CombineErrors(failed, write(os.Stdout, n.Metrics, views))
}

// relayMetrics is the part of a relay node's metrics that hoistctl prints.
type relayMetrics struct {
	Limits []limit.Summary `json:"limits"`
	Orders map[string]int  `json:"orders"`
	Store  storeMetrics    `json:"store"`
	// Requests counts requests and attempts by what became of them.
	Requests     map[string]int64       `json:"requests"`
	Reachability []reachability.Summary `json:"reachability"`
	// Quarantined counts requests and parts of prompts in quarantine. QuarantinedParts has the time
	// since each part came into quarantine, in ms.
	Quarantined      int                     `json:"quarantined"`
	QuarantinedParts map[string]clock.Millis `json:"quarantined_parts"`
}

// fetchAllMetrics returns the metrics of some nodes, nil for those that could not be fetched, and what
// failed.
func fetchAllMetrics(ctx context.Context, addresses []string) (views []*relayMetrics, failed error) {
	views = make([]*relayMetrics, len(addresses))
	for i, address := range addresses {
		metrics, err := fetchMetrics(ctx, address)
		// Continue with the remaining nodes.
		failed = errors.CombineErrors(failed, err)
		views[i] = metrics
	}
	return views, failed
}

func fetchMetrics(ctx context.Context, address string) (*relayMetrics, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "invalid metrics address %q, want ip:port", address)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "metrics of %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	var metrics struct {
		Relay *relayMetrics `json:"hoistrelay"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&metrics); err != nil {
		return nil, errors.Wrapf(err, "metrics of %s: status %d", address, resp.StatusCode)
	}
	if metrics.Relay == nil {
		return nil, errors.Wrapf(errNoRelay, "metrics of %s", address)
	}
	return metrics.Relay, nil
}

// errNoRelay means that the metrics are not those of a relay node.
var errNoRelay = errors.New("not a relay node")
