package explain

import (
	"cmp"
	"fmt"
	"io"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Failure is a request that did not succeed for its caller: rejected, aborted, failed, abandoned
// by the caller, or late.
type Failure struct {
	Time time.Time
	// Cause is the outcome and its reason, such as "refused no_memory_left".
	Cause string
	// Route is the route's name, empty if the request was rejected before its route was known.
	Route string
	// DataCentre is the data centre of the node that received the request, empty if the log does
	// not contain it.
	DataCentre string
	// Layers are the missing layers, empty if the failure had another cause.
	Layers string
}

// Summary describes how the requests in a set of logs ended.
type Summary struct {
	// Total is the number of requests that ended, including successful ones.
	Total    int
	Failures []Failure
}

var (
	nodePattern  = regexp.MustCompile(`(\S+)\s+time=`)
	fieldPattern = regexp.MustCompile(`\b([a-z_]+)=("[^"]*"|\S*)`)
)

// fields returns the key=value fields of a line by key.
func (l Line) fields() map[string]string {
	values := make(map[string]string)
	for _, m := range fieldPattern.FindAllStringSubmatch(l.Text, -1) {
		if _, exists := values[m[1]]; !exists {
			values[m[1]] = strings.Trim(m[2], `"`)
		}
	}
	return values
}

// nodeName returns the name of the node that wrote a line. In a combined log of several nodes
// each line begins with it; otherwise the file's name is used.
func (l Line) nodeName(file string) string {
	if m := nodePattern.FindStringSubmatch(l.Text); m != nil {
		return m[1]
	}
	return file
}

// add adds the lines of one file.
func (s *Summary) add(file string, lines []Line) {
	centres := make(map[string]string)
	for _, line := range lines {
		node := line.nodeName(file)
		if line.Event == "start" {
			centres[node] = line.fields()["data_centre"]
			continue
		}
		if !slices.Contains(endEvents, line.Event) {
			continue
		}
		fields := line.fields()
		s.Total++
		cause := causeOf(line.Event, fields)
		if cause == "" {
			continue
		}
		s.Failures = append(s.Failures, Failure{Time: line.Time, Cause: cause, Route: fields["route"], DataCentre: centres[node], Layers: fields["lacks"]})
	}
}

// endEvents are the log events that end a request.
var endEvents = []string{"refused", "answered", "cut", "caller_left", "caller_lost", "left_open"}

// causeOf returns the cause of a failed request from the event and fields of its last line, or an
// empty string if the request succeeded or its failure was the caller's own fault.
func causeOf(event string, fields map[string]string) string {
	switch event {
	case "refused":
		if fields["reason"] == "no_such_route" || fields["reason"] == "no_such_key" {
			return ""
		}
		return "refused " + fields["reason"]
	case "cut":
		return "cut " + fields["reason"]
	case "caller_left", "caller_lost", "left_open":
		return event
	}
	switch {
	case strings.HasPrefix(fields["status"], "5"):
		return "failed by its upstream"
	case fields["late"] == "":
		return ""
	}
	return "late " + fields["late"] + lateSuffix(fields)
}

// lateSuffix describes the retry or migration of a late response.
func lateSuffix(fields map[string]string) string {
	switch {
	case fields["attempts"] > "1":
		return ", repeated"
	case fields["moves"] > "0":
		return ", moved"
	}
	return ""
}

// ReadSummary reads log files and returns how the requests in them ended.
func ReadSummary(paths []string) (*Summary, error) {
	s := &Summary{}
	for _, path := range paths {
		lines, err := readFile(path)
		if err != nil {
			return nil, err
		}
		s.add(filepath.Base(path), lines)
	}
	slices.SortStableFunc(s.Failures, func(x, y Failure) int { return x.Time.Compare(y.Time) })
	return s, nil
}

// Write prints the summary: failures by cause, route, data centre, missing layers and second.
func (s *Summary) Write(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "%d requests ended, %d of them lost or late\n", s.Total, len(s.Failures)); err != nil {
		return err
	}
	for _, by := range []struct {
		name  string
		value func(Failure) string
	}{
		{"cause", func(f Failure) string { return f.Cause }},
		{"route", func(f Failure) string { return f.Route }},
		{"data centre", func(f Failure) string { return f.DataCentre }},
		{"missing layers", func(f Failure) string { return f.Layers }},
	} {
		if err := s.writeGroups(out, by.name, by.value); err != nil {
			return err
		}
	}
	return s.writeSeconds(out)
}

// maxTableRows bounds the rows of each table except the one by second.
const maxTableRows = 14

// failureGroup is a set of failures that share a value.
type failureGroup struct {
	name     string
	failures []Failure
}

// groupFailures groups failures by a value, with the largest group first.
func groupFailures(failures []Failure, value func(Failure) string) []failureGroup {
	var list []failureGroup
	position := make(map[string]int)
	for _, f := range failures {
		name := value(f)
		i, exists := position[name]
		if !exists {
			i = len(list)
			position[name] = i
			list = append(list, failureGroup{name: name})
		}
		list[i].failures = append(list[i].failures, f)
	}
	slices.SortStableFunc(list, func(x, y failureGroup) int { return cmp.Compare(len(y.failures), len(x.failures)) })
	return list
}

// writeGroups prints one table: for each group the number of failures, the first and last time,
// and the second with the most failures.
func (s *Summary) writeGroups(out io.Writer, name string, value func(Failure) string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, err := fmt.Fprintf(w, "\nby %s\tlost\tfirst\tlast\tworst second\n", name)
	if err != nil {
		return err
	}
	for i, g := range groupFailures(s.Failures, value) {
		if g.name == "" || i >= maxTableRows {
			continue
		}
		worst := groupFailures(g.failures, secondOf)[0]
		_, err = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d at %s\n", g.name, len(g.failures),
			secondOf(g.failures[0]), secondOf(g.failures[len(g.failures)-1]), len(worst.failures), worst.name)
		if err != nil {
			return err
		}
	}
	return w.Flush()
}

func secondOf(f Failure) string { return f.Time.Format(time.TimeOnly) }

// writeSeconds prints the failures of each second with their most frequent causes.
func (s *Summary) writeSeconds(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprint(w, "\nsecond\tlost\tlargest causes\n"); err != nil {
		return err
	}
	seconds := groupFailures(s.Failures, secondOf)
	slices.SortStableFunc(seconds, func(x, y failureGroup) int { return strings.Compare(x.name, y.name) })
	for _, second := range seconds {
		var causes []string
		for _, c := range groupFailures(second.failures, func(f Failure) string { return f.Cause }) {
			causes = append(causes, fmt.Sprintf("%d %s", len(c.failures), c.name))
		}
		if _, err := fmt.Fprintf(w, "%s\t%d\t%s\n", second.name, len(second.failures), strings.Join(causes[:min(len(causes), 3)], "; ")); err != nil {
			return err
		}
	}
	return w.Flush()
}
