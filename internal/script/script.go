// Package script reads the data files of scripted tests.
//
// A file is lines of a verb and its words; KEY=VALUE words are named. Lines
// that begin with ">" are what the line above them must bring about, and "#"
// begins a comment.
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

// Step is one line and what must come of it.
type Step struct {
	Line  int
	Verb  string
	Words []string
	Named map[string]string
	Want  []string
}

// Word returns a word by its place, or nothing.
func (s Step) Word(i int) string {
	if i >= len(s.Words) {
		return ""
	}
	return s.Words[i]
}

// Int returns a named whole number, or a fallback.
func (s Step) Int(name string, fallback int) int {
	n, err := strconv.Atoi(s.Named[name])
	if err != nil {
		return fallback
	}
	return n
}

// Run runs play on each file of a folder. Play returns a function that carries
// out a step and says what came of it.
func Run(t *testing.T, folder string, play func(t *testing.T) func(Step) []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts in %s: %v", folder, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			do := play(t)
			for _, step := range read(t, file) {
				got, want := strings.Join(do(step), "\n"), strings.Join(step.Want, "\n")
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
	s := Step{Line: number, Named: make(map[string]string)}
	for _, word := range strings.Fields(line) {
		name, value, named := strings.Cut(word, "=")
		switch {
		case named:
			s.Named[name] = value
		case s.Verb == "":
			s.Verb = word
		default:
			s.Words = append(s.Words, word)
		}
	}
	return s
}

// Incarnation reads the name of an upstream, with the start of its run where that is known:
// e1 or e1@17.
func Incarnation(word string) fleet.Incarnation {
	id, born, _ := strings.Cut(word, "@")
	start, err := strconv.ParseInt(born, 10, 64)
	if err != nil {
		return fleet.IncarnationByID(fleet.ID(id))
	}
	return fleet.NewIncarnation(fleet.ID(id), fleet.StartTime(start))
}
