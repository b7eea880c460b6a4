// Package explain finds the log lines of nodes that are relevant to one request: the request's
// own lines, and events of the same time that concern its upstreams, the store or the whole node.
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

// ErrNoLines means that no log line contains the request's ID.
var ErrNoLines = errors.New("explain: no line names this request")

// Limits of the search.
const (
	// Events are included from contextBefore before the request's first line until contextAfter
	// after its last line.
	contextBefore = 3 * time.Second
	contextAfter  = 300 * time.Millisecond
	// maxLineBytes bounds the length of a log line, in bytes.
	maxLineBytes = 1 << 20
)

// upstreamEvents are the log events about one upstream, nodeEvents those about the whole node.
var (
	upstreamEvents = []string{"suspect", "silent", "probe", "upstream_leaving", "upstream_says_it_leaves", "rest", "word_unread", "identified", "upstream_replaced", "order"}
	nodeEvents     = []string{"store_lost", "store_back", "store_returned", "config", "config_outdated", "freshness_from_peer", "reader", "reader_failed", "coverage", "drain", "start", "stop"}
)

// Line is one log line.
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

// Read parses a log. It skips lines without a time or an event.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "explain: read log")
}

func parseLine(text string) (Line, bool) {
	timeMatch, eventMatch := timePattern.FindStringSubmatch(text), eventPattern.FindStringSubmatch(text)
	if timeMatch == nil || eventMatch == nil {
		return Line{}, false
	}
	t, err := time.Parse(time.RFC3339Nano, timeMatch[1])
	if err != nil {
		return Line{}, false
	}
	return Line{Time: t, Event: eventMatch[1], Text: text}, true
}

// RequestLines returns the lines that are relevant to a request, in chronological order, or
// ErrNoLines if no line contains its ID.
func RequestLines(id string, lines []Line) ([]Line, error) {
	idPattern := regexp.MustCompile(`\bid=` + regexp.QuoteMeta(id) + `\b`)
	var found []Line
	for _, line := range lines {
		if idPattern.MatchString(line.Text) {
			found = append(found, line)
		}
	}
	if len(found) == 0 {
		return nil, errors.Wrapf(ErrNoLines, "%q", id)
	}
	slices.SortStableFunc(found, compareTime)
	from, to := found[0].Time.Add(-contextBefore), found[len(found)-1].Time.Add(contextAfter)
	upstreams := upstreamsOf(found)
	for _, line := range lines {
		if line.Time.Before(from) || line.Time.After(to) || idPattern.MatchString(line.Text) {
			continue
		}
		if slices.Contains(nodeEvents, line.Event) || slices.Contains(upstreamEvents, line.Event) && upstreams[upstreamOf(line)] {
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

// upstreamsOf returns the IDs of the upstreams in a request's lines.
func upstreamsOf(lines []Line) map[string]bool {
	upstreams := make(map[string]bool)
	for _, line := range lines {
		if id := upstreamOf(line); id != "" {
			upstreams[id] = true
		}
		if m := chainPattern.FindStringSubmatch(line.Text); m != nil {
			for part := range strings.FieldsSeq(m[1]) {
				id, _, _ := strings.Cut(part, ":")
				upstreams[id] = true
			}
		}
	}
	return upstreams
}
