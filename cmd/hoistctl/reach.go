package main

import (
	"fmt"
	"io"
)

// reachCommand prints which data centres' upstreams the relay nodes reach, and how many requests they
// pass on to each other, from their metrics.
type reachCommand struct{ relayNodes }

func (c *reachCommand) runOffline() error { return c.print(writeReach) }

// writeReach writes a table with a line for each node and data centre. The counts are since the start
// of the node.
func writeReach(out io.Writer, addresses []string, views []*relayMetrics) error {
	rows := []string{"node\tdata centre\tstate\tupstreams failed\tanswered ms ago\tpassed on\ttaken over"}
	for i, v := range views {
		if v == nil {
			continue
		}
		for _, r := range v.Reachability {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%d",
				addresses[i], r.DataCentre, r.State, r.Failed, r.AnswerAgeMS, v.Requests["forwarded"], v.Requests["taken_over"]))
		}
	}
	return writeRows(out, rows)
}
