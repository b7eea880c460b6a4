package explain_test

import (
	"errors"
	"os"
	"slices"
	"testing"

	"github.com/hoistjunction/hoistjunction/explain"
)

func testLines(t *testing.T) []explain.Line {
	t.Helper()
	file, err := os.Open("testdata/node.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines, err := explain.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

func TestRequest(t *testing.T) {
	found, err := explain.RequestLines("aa11", testLines(t))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, line := range found {
		got = append(got, line.Event)
	}
	want := []string{"store_lost", "sent", "suspect", "move", "answered"}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestRequestThatNobodyNames(t *testing.T) {
	if _, err := explain.RequestLines("a", testLines(t)); !errors.Is(err, explain.ErrNoLines) {
		t.Errorf("got error %v, want %v", err, explain.ErrNoLines)
	}
}
