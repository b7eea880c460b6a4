//go:build suspendable

package clock

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// SuspendedFile is the environment variable with the path of a file that contains the total
// simulated suspension of the VM, in ms. Only builds for the fault soak test read it: the test
// stops a process with a signal, and the process must then behave as after a suspension of its
// VM.
const SuspendedFile = "HOIST_SUSPENDED_FILE"

// thisVM returns the VM that the process runs on, with the simulated suspension from the file.
func thisVM() VM {
	return suspendable{systemVM: systemVM{start: time.Now()}, file: os.Getenv(SuspendedFile)}
}

// suspendable is a VM with a simulated suspension, by which its steady clock lags behind.
type suspendable struct {
	systemVM
	file string
}

// Steady implements VM.
func (v suspendable) Steady() time.Duration { return v.systemVM.Steady() - v.suspended() }

func (v suspendable) suspended() time.Duration {
	text, err := os.ReadFile(v.file)
	if err != nil {
		// Without the file, there was no suspension yet.
		return 0
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		// The file is being written and is incomplete.
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
