// Package script runs tests that are scripted in data files.
//
// Each line of a file is a step: a verb with its arguments, in which KEY=VALUE sets a
// parameter. Lines that begin with ">" are the expected results of the step above, and
// lines that begin with "#" are comments.
//
//	at=10 arrive 1 path=/write/a
//	> send 1.1 to e1
package script

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// Step is one step of a script with its expected results.
type Step struct {
	Line   int
	Verb   string
	Args   []string
	Params map[string]string
	Want   []string
}

// Arg returns the argument at index i, or "" if there is none.
func (s Step) Arg(i int) string {
	if i >= len(s.Args) {
		return ""
	}
	return s.Args[i]
}

// Int returns a parameter as an integer, or fallback if it is missing or invalid.
func (s Step) Int(name string, fallback int) int {
	n, err := strconv.Atoi(s.Params[name])
	if err != nil {
		return fallback
	}
	return n
}

// Run runs each script of directory dir as a subtest. Play returns a function that executes a
// step and returns its results.
func Run(t *testing.T, dir string, play func(t *testing.T) func(Step) []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts in %s: %v", dir, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			execute := play(t)
			for _, step := range read(t, file) {
				got, want := strings.Join(execute(step), "\n"), strings.Join(step.Want, "\n")
				if got != want {
					t.Errorf("%s line %d: %s:\ngot:\n%s\nwant:\n%s", file, step.Line, step.Verb, got, want)
				}
			}
		})
	}
}

func read(t *testing.T, file string) []Step {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var steps []Step
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case strings.HasPrefix(line, ">"):
			last := &steps[len(steps)-1]
			last.Want = append(last.Want, strings.TrimSpace(line[1:]))
		default:
			steps = append(steps, parse(i+1, line))
		}
	}
	return steps
}

func parse(number int, line string) Step {
	s := Step{Line: number, Params: make(map[string]string)}
	for _, word := range strings.Fields(line) {
		name, value, named := strings.Cut(word, "=")
		switch {
		case named:
			s.Params[name] = value
		case s.Verb == "":
			s.Verb = word
		default:
			s.Args = append(s.Args, word)
		}
	}
	return s
}

// Incarnation parses the ID of an upstream, followed by the start time of its process if
// known: e1 or e1@17.
func Incarnation(word string) fleet.Incarnation {
	id, born, _ := strings.Cut(word, "@")
	start, err := strconv.ParseInt(born, 10, 64)
	if err != nil {
		return fleet.IncarnationByID(fleet.ID(id))
	}
	return fleet.NewIncarnation(fleet.ID(id), fleet.StartTime(start))
}
