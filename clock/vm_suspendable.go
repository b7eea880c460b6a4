//go:build suspendable

package clock

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// SuspendedFile is the variable that names a file with the time for which the VM of a
// process counts as suspended so far, in ms. It is read in builds for the fault soak alone,
// which stops a process with a signal and wants it to find itself as after a suspension.
const SuspendedFile = "HOIST_SUSPENDED_FILE"

// thisVM returns the VM that the process runs on, suspended for as long as a file tells.
func thisVM() VM {
	return suspendable{systemVM: systemVM{start: time.Now()}, file: os.Getenv(SuspendedFile)}
}

// suspendable is a VM whose steady clock has stood still for a time.
type suspendable struct {
	systemVM
	file string
}

// Steady implements VM.
func (v suspendable) Steady() time.Duration { return v.systemVM.Steady() - v.suspended() }

func (v suspendable) suspended() time.Duration {
	text, err := os.ReadFile(v.file)
	if err != nil {
		// Nobody has suspended it yet.
		return 0
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		// The file is being written.
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
