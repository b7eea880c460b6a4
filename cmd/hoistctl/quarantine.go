package main

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
)

// quarantineCommand prints which parts of prompts are in quarantine at which relay nodes, from their
// metrics.
type quarantineCommand struct{ relayNodes }

func (c *quarantineCommand) runOffline() error { return c.print(writeQuarantine) }

// writeQuarantine writes a table with a line for each part, then one with the number of all requests
// and parts in quarantine at each node. Nodes that have no view are left out.
func writeQuarantine(out io.Writer, addresses []string, views []*relayMetrics) error {
	return errors.CombineErrors(writeQuarantinedParts(out, views), writeQuarantineCounts(out, addresses, views))
}

func writeQuarantinedParts(out io.Writer, views []*relayMetrics) error {
	parts := quarantinedParts(views)
	if len(parts) == 0 {
		_, err := fmt.Fprintln(out, "no part is in quarantine")
		return err
	}
	rows := []string{"part\tquarantined s ago\tat nodes"}
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		p := parts[part]
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d of %d", part, p.age.Seconds(), p.nodes, answered(views)))
	}
	return writeRows(out, rows)
}

func writeQuarantineCounts(out io.Writer, addresses []string, views []*relayMetrics) error {
	rows := []string{"node\trequests and parts in quarantine"}
	for i, v := range views {
		if v != nil {
			rows = append(rows, fmt.Sprintf("%s\t%d", addresses[i], v.Quarantined))
		}
	}
	return writeRows(out, rows)
}

// quarantinedPart is a part that some nodes have in quarantine; age is the time since the first of them
// knew it.
type quarantinedPart struct {
	age   clock.Millis
	nodes int
}

func quarantinedParts(views []*relayMetrics) map[string]quarantinedPart {
	parts := make(map[string]quarantinedPart)
	for _, v := range views {
		if v == nil {
			continue
		}
		for part, age := range v.QuarantinedParts {
			p := parts[part]
			parts[part] = quarantinedPart{age: max(p.age, age), nodes: p.nodes + 1}
		}
	}
	return parts
}

// answered returns how many nodes have a view.
func answered(views []*relayMetrics) int {
	n := 0
	for _, v := range views {
		if v != nil {
			n++
		}
	}
	return n
}
