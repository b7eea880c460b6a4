// Package explain finds, in the logs of relay nodes, all that bears on one
// request: its own lines, and what the node believed of the upstreams on its
// way and of the store at the time.
package explain

import (
	"bufio"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoLines means that no line names the request.
var ErrNoLines = errors.New("explain: no line names this request")

// Figures of the search.
const (
	// contextBefore is how long before a request's first line what the node believed
	// may still bear on it, and after the same for its last.
	contextBefore = 3 * time.Second
	contextAfter  = 300 * time.Millisecond
	// maxLineBytes bounds a line, in bytes.
	maxLineBytes = 1 << 20
)

// beliefs are the events about an upstream, and conditions those about the
// whole node.
var (
	upstreamEvents = []string{"suspect", "silent", "probe", "upstream_leaving", "upstream_says_it_leaves", "rest", "word_unread", "identified", "upstream_replaced", "order"}
	nodeEvents     = []string{"store_lost", "store_back", "store_returned", "config", "config_outdated", "freshness_from_peer", "reader", "reader_failed", "coverage", "drain", "start", "stop"}
)

// Line is one line of a log.
type Line struct {
	Time  time.Time
	Event string
	Text  string
}

var (
	timePattern     = regexp.MustCompile(`\btime=(\S+)`)
	eventPattern    = regexp.MustCompile(`\bevent=(\S+)`)
	upstreamPattern = regexp.MustCompile(`\b(?:upstream|away_from)=(\S+)`)
	chainPattern    = regexp.MustCompile(`\bchain="([^"]*)"`)
)

// Read parses a log. Lines without a time or an event are left out.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "explain: cannot read")
}

func parseLine(text string) (Line, bool) {
	at, event := timePattern.FindStringSubmatch(text), eventPattern.FindStringSubmatch(text)
	if at == nil || event == nil {
		return Line{}, false
	}
	when, err := time.Parse(time.RFC3339Nano, at[1])
	if err != nil {
		return Line{}, false
	}
	return Line{Time: when, Event: event[1], Text: text}, true
}

// RequestLines returns the lines that bear on a request, in the order of their
// times; ErrNoLines if none names it.
func RequestLines(id string, lines []Line) ([]Line, error) {
	own := regexp.MustCompile(`\bid=` + regexp.QuoteMeta(id) + `\b`)
	var found []Line
	for _, line := range lines {
		if own.MatchString(line.Text) {
			found = append(found, line)
		}
	}
	if len(found) == 0 {
		return nil, errors.Wrapf(ErrNoLines, "%q", id)
	}
	slices.SortStableFunc(found, compareTime)
	from, to := found[0].Time.Add(-contextBefore), found[len(found)-1].Time.Add(contextAfter)
	passed := upstreamsOf(found)
	for _, line := range lines {
		if line.Time.Before(from) || line.Time.After(to) || own.MatchString(line.Text) {
			continue
		}
		if slices.Contains(nodeEvents, line.Event) || slices.Contains(upstreamEvents, line.Event) && passed[upstreamOf(line)] {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, compareTime)
	return found, nil
}

func compareTime(a, b Line) int { return a.Time.Compare(b.Time) }

func upstreamOf(line Line) string {
	if m := upstreamPattern.FindStringSubmatch(line.Text); m != nil {
		return m[1]
	}
	return ""
}

// upstreamsOf returns the upstreams that a request's lines name.
func upstreamsOf(lines []Line) map[string]bool {
	passed := make(map[string]bool)
	for _, line := range lines {
		if id := upstreamOf(line); id != "" {
			passed[id] = true
		}
		if m := chainPattern.FindStringSubmatch(line.Text); m != nil {
			for part := range strings.FieldsSeq(m[1]) {
				id, _, _ := strings.Cut(part, ":")
				passed[id] = true
			}
		}
	}
	return passed
}
