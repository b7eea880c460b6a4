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
	// suspendedFile is the variable that names the file with the time for which a node's
	// VM was suspended, as the node's build for the soak reads it.
	suspendedFile = "HOIST_SUSPENDED_FILE"
	// longestSuspension bounds a suspension: keys must not be trusted after five seconds.
	longestSuspension = 6500 * time.Millisecond
	// betweenSuspensions bounds the pause between two.
	betweenSuspensions = 3 * time.Second
)

// suspendSeries suspends the VMs of nodes: they stand still, and their steady clocks do not
// count that time.
func (s *soak) suspendSeries(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(betweenSuspensions))))
		which, lasts := random.IntN(len(s.world.nodes)), time.Duration(random.Int64N(int64(longestSuspension)))
		if ctx.Err() == nil {
			s.note("suspend "+s.world.nodes[which].Name(), lasts, s.suspend(which, lasts))
		}
	}
}

func (s *soak) suspend(which int, lasts time.Duration) error {
	s.world.nodeBusy[which].Lock()
	defer s.world.nodeBusy[which].Unlock()
	node := s.world.nodes[which]
	defer s.disturbed.note(node.Name(), time.Now())
	node.Signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	err := addSuspended(s.world.suspendedPath(node.Name()), lasts)
	node.Signal(syscall.SIGCONT)
	return err
}

// addSuspended adds to the time that a file tells.
func addSuspended(path string, d time.Duration) error {
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
