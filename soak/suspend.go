package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// suspendedFileEnv is the environment variable with the path of a file that contains how
	// long the node's VM was suspended, in ms. The node's build for the soak reads the file.
	suspendedFileEnv = "HOIST_SUSPENDED_FILE"
	// maxSuspension bounds a suspension. It exceeds the five seconds after which a node must
	// not trust its client keys any more.
	maxSuspension = 6500 * time.Millisecond
	// maxSuspensionPause bounds the pause between two suspensions.
	maxSuspensionPause = 3 * time.Second
)

// suspendSeries suspends the VMs of nodes: the processes are stopped, and their monotonic
// clocks do not count the time.
func (r *runner) suspendSeries(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(maxSuspensionPause))))
		index, duration := random.IntN(len(r.cluster.nodes)), time.Duration(random.Int64N(int64(maxSuspension)))
		if ctx.Err() == nil {
			r.logFault("suspend "+r.cluster.nodes[index].Name(), duration, r.suspend(index, duration))
		}
	}
}

func (r *runner) suspend(index int, duration time.Duration) error {
	r.cluster.nodeMu[index].Lock()
	defer r.cluster.nodeMu[index].Unlock()
	node := r.cluster.nodes[index]
	defer r.disturbed.record(node.Name(), time.Now())
	node.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	err := addSuspendedTime(r.cluster.suspendedTimePath(node.Name()), duration)
	node.Signal(syscall.SIGCONT)
	return err
}

// addSuspendedTime adds a duration to the suspended time in a file. It replaces the file
// atomically.
func addSuspendedTime(path string, d time.Duration) error {
	before := int64(0)
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return err
	default:
		if before, err = strconv.ParseInt(string(text), 10, 64); err != nil {
			return err
		}
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(strconv.FormatInt(before+d.Milliseconds(), 10)), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
