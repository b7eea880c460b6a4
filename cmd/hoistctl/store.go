package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// storeCommand prints what relay nodes believe of the store, as they tell it in their metrics.
type storeCommand struct {
	Metrics []string `arg:"positional,required" help:"metrics addresses of relay nodes, as ip:port"`
}

// storeMetrics is what a node believes of the store. Moments are ERA:REVISION, ages in ms.
type storeMetrics struct {
	AsOf        string           `json:"as_of"`
	From        string           `json:"from"`
	AnsweredMS  int64            `json:"answered_ms"`
	Config      string           `json:"config"`
	Written     string           `json:"written"`
	ConfirmedMS int64            `json:"confirmed_ms"`
	Eras        map[string]int64 `json:"eras"`
}

func (c *storeCommand) runOffline() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	views := make([]*relayMetrics, len(c.Metrics))
	var failed error
	for i, address := range c.Metrics {
		metrics, err := fetchMetrics(ctx, address)
		// The others may answer.
		failed = errors.CombineErrors(failed, err)
		views[i] = metrics
	}
	return errors.CombineErrors(failed, writeStores(os.Stdout, c.Metrics, views))
}

// writeStores writes a line for each node that has answered.
func writeStores(out io.Writer, addresses []string, views []*relayMetrics) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "node\tlist as of\tfrom\tanswered ms ago\tconfig\twritten\tconfirmed ms ago\treturns seen\tanswers refused"); err != nil {
		return err
	}
	for i, v := range views {
		if v == nil {
			continue
		}
		s, from := v.Store, v.Store.From
		if from == "" {
			from = "the store"
		}
		if _, err := fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\n",
			addresses[i], s.AsOf, from, s.AnsweredMS, s.Config, s.Written, s.ConfirmedMS, s.Eras["returns"], s.Eras["refused"]); err != nil {
			return err
		}
	}
	return t.Flush()
}
