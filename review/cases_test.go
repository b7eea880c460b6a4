//go:build review

package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// The environment variables that name the users' bench and the site file of the days, by
// paths from the root of the repository.
const (
	benchVariable = "BENCH"
	siteVariable  = "SITE"
)

// TestReviewCases fails for each case of the review whose rule is broken: the scripts, and
// the days on three seeds. It needs the build of the deploy file and review/build.sh.
func TestReviewCases(t *testing.T) {
	t.Chdir("..")
	scripts, err := filepath.Glob("review/[123]/run.sh")
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		t.Run(script, func(t *testing.T) {
			if out, err := exec.Command("bash", script).CombinedOutput(); err != nil {
				t.Errorf("got %v, want exit code 0: %s", err, out)
			}
		})
	}
	days, err := filepath.Glob("review/[123]/day.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, day := range days {
		for _, seed := range []string{"1", "2", "3"} {
			t.Run(day+" seed "+seed, func(t *testing.T) {
				if got := playDay(t, day, seed); len(got) > 0 {
					t.Errorf("got broken rules %v, want none", got)
				}
			})
		}
	}
}

// playDay plays a day on the users' bench and returns how often each rule was broken.
func playDay(t *testing.T, day, seed string) map[string]int {
	t.Helper()
	report := filepath.Join(t.TempDir(), "report.json")
	out, err := exec.Command(os.Getenv(benchVariable), "run", os.Getenv(siteVariable), day, "--seed", seed, "--report", report, "--why", "review cases").CombinedOutput()
	raw, readErr := os.ReadFile(report)
	if readErr != nil {
		t.Fatalf("no report: %v, %v: %s", err, readErr, out)
	}
	var result struct {
		Breaks map[string]int `json:"breaks"`
	}
	if err := json.Unmarshal(raw, &result); err != nil {
		t.Fatal(err)
	}
	return result.Breaks
}
