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
	// suspendedFileEnv is the variable that names the file with the time for which a node's
	// VM was suspended, as the node's build for the soak reads it.
	suspendedFileEnv = "HOIST_SUSPENDED_FILE"
	// maxSuspension bounds a suspension: keys must not be trusted after five seconds.
	maxSuspension = 6500 * time.Millisecond
	// maxSuspensionPause bounds the pause between two.
	maxSuspensionPause = 3 * time.Second
)

// suspendSeries suspends the VMs of nodes: they stand still, and their steady clocks do not
// count that time.
func (s *runner) suspendSeries(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(maxSuspensionPause))))
		which, lasts := random.IntN(len(s.cluster.nodes)), time.Duration(random.Int64N(int64(maxSuspension)))
		if ctx.Err() == nil {
			s.logFault("suspend "+s.cluster.nodes[which].Name(), lasts, s.suspend(which, lasts))
		}
	}
}

func (s *runner) suspend(which int, lasts time.Duration) error {
	s.cluster.nodeMu[which].Lock()
	defer s.cluster.nodeMu[which].Unlock()
	node := s.cluster.nodes[which]
	defer s.disturbed.record(node.Name(), time.Now())
	node.Signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	err := addSuspendedTime(s.cluster.suspendedTimePath(node.Name()), lasts)
	node.Signal(syscall.SIGCONT)
	return err
}

// addSuspendedTime adds to the time that a file tells.
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
	whole := path + ".new"
	if err := os.WriteFile(whole, []byte(strconv.FormatInt(before+d.Milliseconds(), 10)), 0o644); err != nil {
		return err
	}
	return os.Rename(whole, path)
}
