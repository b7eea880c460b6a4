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

// Failure is a request that did not end as its caller wants it: refused, cut, failed,
// left by its caller, or late.
type Failure struct {
	Time time.Time
	// Cause is what became of it and why, as "refused no_memory_left".
	Cause string
	// Route names the request's kind; empty where it was refused before it was
	// known.
	Route string
	// DataCentre is that of the node which took it; empty if the log does not say.
	DataCentre string
	// Layers are those that ran short; empty where that is not it.
	Layers string
}

// Summary is all that the logs say of how requests ended.
type Summary struct {
	// Total counts the requests that ended, well or not.
	Total    int
	Failures []Failure
}

var (
	nodePattern  = regexp.MustCompile(`(\S+)\s+time=`)
	fieldPattern = regexp.MustCompile(`\b([a-z_]+)=("[^"]*"|\S*)`)
)

// fields returns the values of a line by their names.
func (l Line) fields() map[string]string {
	values := make(map[string]string)
	for _, m := range fieldPattern.FindAllStringSubmatch(l.Text, -1) {
		if _, known := values[m[1]]; !known {
			values[m[1]] = strings.Trim(m[2], `"`)
		}
	}
	return values
}

// nodeName names the node that wrote a line, where all nodes' lines stand in one
// file and each begins with its node.
func (l Line) nodeName(file string) string {
	if m := nodePattern.FindStringSubmatch(l.Text); m != nil {
		return m[1]
	}
	return file
}

// add takes in the lines of one file.
func (a *Summary) add(file string, lines []Line) {
	centres := make(map[string]string)
	for _, line := range lines {
		source := line.nodeName(file)
		if line.Event == "start" {
			centres[source] = line.fields()["data_centre"]
			continue
		}
		if !slices.Contains(endEvents, line.Event) {
			continue
		}
		f := line.fields()
		a.Total++
		cause := causeOf(line.Event, f)
		if cause == "" {
			continue
		}
		a.Failures = append(a.Failures, Failure{Time: line.Time, Cause: cause, Route: f["route"], DataCentre: centres[source], Layers: f["lacks"]})
	}
}

// endEvents are the events that end a request.
var endEvents = []string{"refused", "answered", "cut", "caller_left", "caller_lost", "left_open"}

// causeOf says why a request counts as lost, from the fields of its last line;
// empty where it does not.
func causeOf(event string, f map[string]string) string {
	switch event {
	case "refused":
		if f["reason"] == "no_such_route" || f["reason"] == "no_such_key" {
			return ""
		}
		return "refused " + f["reason"]
	case "cut":
		return "cut " + f["reason"]
	case "caller_left", "caller_lost", "left_open":
		return event
	}
	switch {
	case strings.HasPrefix(f["status"], "5"):
		return "failed by its upstream"
	case f["late"] == "":
		return ""
	}
	return "late " + f["late"] + lateSuffix(f)
}

// lateSuffix says what had happened to a late answer on its way.
func lateSuffix(f map[string]string) string {
	switch {
	case f["attempts"] > "1":
		return ", repeated"
	case f["moves"] > "0":
		return ", moved"
	}
	return ""
}

// ReadSummary reads log files and returns how the requests in them ended.
func ReadSummary(paths []string) (*Summary, error) {
	a := &Summary{}
	for _, path := range paths {
		lines, err := readFile(path)
		if err != nil {
			return nil, err
		}
		a.add(filepath.Base(path), lines)
	}
	slices.SortStableFunc(a.Failures, func(x, y Failure) int { return x.Time.Compare(y.Time) })
	return a, nil
}

// Write prints the account: losses by cause, by second, by route, by data centre
// and by what ran short.
func (a *Summary) Write(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "%d requests ended, %d of them lost or late\n", a.Total, len(a.Failures)); err != nil {
		return err
	}
	for _, by := range []struct {
		name string
		of   func(Failure) string
	}{
		{"cause", func(l Failure) string { return l.Cause }},
		{"route", func(l Failure) string { return l.Route }},
		{"data centre", func(l Failure) string { return l.DataCentre }},
		{"layers that ran short", func(l Failure) string { return l.Layers }},
	} {
		if err := a.writeGroups(out, by.name, by.of); err != nil {
			return err
		}
	}
	return a.writeSeconds(out)
}

// maxTableRows bounds each table but the one by second.
const maxTableRows = 14

// failureGroup is the losses that share a value.
type failureGroup struct {
	name     string
	failures []Failure
}

// groupFailures sorts losses by a value, the largest group first.
func groupFailures(losses []Failure, of func(Failure) string) []failureGroup {
	var list []failureGroup
	place := make(map[string]int)
	for _, loss := range losses {
		name := of(loss)
		i, known := place[name]
		if !known {
			i = len(list)
			place[name] = i
			list = append(list, failureGroup{name: name})
		}
		list[i].failures = append(list[i].failures, loss)
	}
	slices.SortStableFunc(list, func(x, y failureGroup) int { return cmp.Compare(len(y.failures), len(x.failures)) })
	return list
}

// writeGroups prints one table: how many, from when to when, and the worst second.
func (a *Summary) writeGroups(out io.Writer, name string, of func(Failure) string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, err := fmt.Fprintf(w, "\nby %s\tlost\tfirst\tlast\tworst second\n", name)
	if err != nil {
		return err
	}
	for i, g := range groupFailures(a.Failures, of) {
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

func secondOf(l Failure) string { return l.Time.Format(time.TimeOnly) }

// writeSeconds prints the losses of each second with its largest causes.
func (a *Summary) writeSeconds(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprint(w, "\nsecond\tlost\tlargest causes\n"); err != nil {
		return err
	}
	seconds := groupFailures(a.Failures, secondOf)
	slices.SortStableFunc(seconds, func(x, y failureGroup) int { return strings.Compare(x.name, y.name) })
	for _, s := range seconds {
		var causes []string
		for _, c := range groupFailures(s.failures, func(l Failure) string { return l.Cause }) {
			causes = append(causes, fmt.Sprintf("%d %s", len(c.failures), c.name))
		}
		if _, err := fmt.Fprintf(w, "%s\t%d\t%s\n", s.name, len(s.failures), strings.Join(causes[:min(len(causes), 3)], "; ")); err != nil {
			return err
		}
	}
	return w.Flush()
}
