//go:build review

// Command stand plays everything around the nodes in the cases of the review: the
// platform's store with its operator, the servers of a plain service and the clients.
// It starts the nodes as separate processes with the command of the deploy file.
//
//	stand CASE FOLDER
//
// It is run from the root of the repository and writes FOLDER/record.txt. It exits with
// 1 if the rule of the case was broken, with 0 if it held and with 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that does not end by itself.
const maxRunTime = 115 * time.Second

// verdict is the result of a case: whether its rule was broken, and what was seen.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name.
var cases = map[string]func(*bed) (verdict, error){
	"number-in-entry": runNumberInEntry,
	"revoked-at-copy": runRevokedAtCopy,
	// Further findings, which are no cases of their own.
	"start-in-entry":    runStartInEntry,
	"failed-though-ran": runFailedThoughRan,
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs a case and returns the exit code.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitNotRun
	}
	b, err := newBed(filepath.Join(args[1], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitNotRun
	}
	defer b.close()
	v, err := b.runCase(cases[args[0]])
	if err != nil {
		b.record("not_run error=%q", err)
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitNotRun
	}
	b.record("verdict broken=%t trouble=%t: %s", v.broken, b.trouble, v.text)
	fmt.Printf("broken=%t trouble=%t: %s\n", v.broken, b.trouble, v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}

// errStopped means that the case was interrupted or took too long.
var errStopped = errors.New("stand: stopped before the end of the case")

// runCase runs a case until it ends, is interrupted or takes too long.
func (b *bed) runCase(runOne func(*bed) (verdict, error)) (verdict, error) {
	type result struct {
		verdict verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		v, err := runOne(b)
		done <- result{verdict: v, err: err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case r := <-done:
		return r.verdict, r.err
	case <-stop:
		return verdict{}, errStopped
	case <-time.After(maxRunTime):
		return verdict{}, errStopped
	}
}
