//go:build review2

// Command review-2 holds the cases of the second review and their stand-ins: a store with the
// operator's configuration, a server, and the driver that plays a case with processes of its own.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// errUsage is returned for unknown arguments.
var errUsage = errors.New("usage: review-2 store CONFIG | server FLAGS | engine FLAGS | case NAME RECORD")

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		os.Exit(exitCannot)
	}
}

func run(args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	switch args[0] {
	case "store":
		return serveStore(args[1])
	case "server":
		return serveServer(args[1:])
	case "engine":
		return serveEngine(args[1:])
	case "case":
		if len(args) != 3 {
			return errUsage
		}
		return playCase(args[1], args[2])
	}
	return errUsage
}

// cases holds the cases by name.
var cases = map[string]func(*bed) (bool, error){
	"foreign-layers": foreignLayers,
	"cut-stream":     cutStream,
	"waiting":        waiting,
	"old-copy":       oldCopy,
}

// playCase plays a case, writes what happened to a record and exits with the outcome.
func playCase(name, record string) error {
	play, ok := cases[name]
	if !ok {
		return fmt.Errorf("no case named %q", name)
	}
	b, err := newBed(record)
	if err != nil {
		return err
	}
	broken, err := play(b)
	b.close()
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		return err
	case broken:
		b.note("the rule was broken")
		os.Exit(exitBroken)
	}
	b.note("the rule held")
	os.Exit(exitHeld)
	return nil
}
