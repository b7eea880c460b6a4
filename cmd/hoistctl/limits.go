package main

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// limitsCommand prints the limits that upstreams advertise, and the number of orders to
// engines by result, from the metrics of relay nodes.
type limitsCommand struct{ relayNodes }

func (c *limitsCommand) runOffline() error { return c.print(writeLimits) }

// writeLimits writes the limits and orders of each node whose metrics were fetched.
func writeLimits(out io.Writer, addresses []string, views []*relayMetrics) error {
	var failed error
	for i, v := range views {
		if v != nil {
			failed = errors.CombineErrors(failed, v.write(out, addresses[i]))
		}
	}
	return failed
}

func (m *relayMetrics) write(out io.Writer, address string) error {
	lines := []string{fmt.Sprintf("%s: orders %v, %d upstreams with a limit", address, m.Orders, len(m.Limits))}
	if len(m.Limits) > 0 {
		lines = append(lines, "upstream\tper second\tage ms\towner\tsent in 4 s\tgiven in 4 s\twanted in vain")
	}
	for _, l := range m.Limits {
		lines = append(lines, fmt.Sprintf("%s\t%g\t%d\t%s\t%d\t%d\t%d", l.Upstream, l.PerSecond, l.AgeMillis, l.Owner, l.Sent, l.Granted, l.Denied))
	}
	return writeRows(out, lines)
}
