package main

import (
	"fmt"
	"io"
)

// storeCommand prints the relay nodes' view of the store from their metrics.
type storeCommand struct{ relayNodes }

// storeMetrics is a node's view of the store. Moments have the form ERA:REVISION; ages are in ms.
type storeMetrics struct {
	AsOf        string           `json:"as_of"`
	From        string           `json:"from"`
	AnsweredMS  int64            `json:"answered_ms"`
	Config      string           `json:"config"`
	Written     string           `json:"written"`
	ConfirmedMS int64            `json:"confirmed_ms"`
	Eras        map[string]int64 `json:"eras"`
}

func (c *storeCommand) runOffline() error { return c.print(writeStores) }

// writeStores writes a table with a line for each node whose metrics were fetched.
func writeStores(out io.Writer, addresses []string, views []*relayMetrics) error {
	rows := []string{"node\tlist as of\tfrom\tanswered ms ago\tconfig\twritten\tconfirmed ms ago\treturns seen\tanswers refused"}
	for i, v := range views {
		if v == nil {
			continue
		}
		s, from := v.Store, v.Store.From
		if from == "" {
			from = "the store"
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d",
			addresses[i], s.AsOf, from, s.AnsweredMS, s.Config, s.Written, s.ConfirmedMS, s.Eras["returns"], s.Eras["refused"]))
	}
	return writeRows(out, rows)
}
