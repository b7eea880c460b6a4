package logging

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hoistjunction/hoistjunction/ring"
)

const (
	// maxQueuedLines bounds the lines that wait to be written. At some 300 bytes
	// a line that is about 2 MB.
	maxQueuedLines = 8192
	// flushInterval is how long a line may wait for others to be written with it.
	flushInterval = 40 * time.Millisecond
	// maxBatchBytes is how much is written at a time.
	maxBatchBytes = 32 << 10
)

// Async writes lines from a goroutine of its own. It never makes its caller
// wait: when too many lines are waiting it drops the new ones and says later
// how many.
type Async struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	closing chan struct{}
	stopped chan struct{}
}

// NewAsync returns a writer in front of another one.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: ring.New[[]byte](maxQueuedLines), closing: make(chan struct{}), stopped: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a line.
func (a *Async) Write(line []byte) (int, error) {
	if !a.lines.Offer(append([]byte(nil), line...)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. Lines are written out by Close.
func (a *Async) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (a *Async) Dropped() uint64 { return a.lines.Refused() }

// Close writes out what is waiting.
func (a *Async) Close() {
	close(a.closing)
	<-a.stopped
}

func (a *Async) run() {
	defer close(a.stopped)
	var batch []byte
	for {
		select {
		case line := <-a.lines.Items():
			batch = a.fillBatch(append(batch, line...))
			a.flush(batch)
			batch = batch[:0]
		case <-a.closing:
			a.flush(a.drain(batch))
			return
		}
	}
}

// fillBatch adds the lines of the next moments to a batch.
func (a *Async) fillBatch(batch []byte) []byte {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for len(batch) < maxBatchBytes {
		select {
		case line := <-a.lines.Items():
			batch = append(batch, line...)
		case <-timer.C:
			return batch
		case <-a.closing:
			return batch
		}
	}
	return batch
}

func (a *Async) drain(batch []byte) []byte {
	for {
		select {
		case line := <-a.lines.Items():
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

// flush writes a batch. There is nowhere to report a failed write to.
func (a *Async) flush(batch []byte) {
	if n := a.dropped.Swap(0); n > 0 {
		batch = append(batch, "level=warn event=log_lines_dropped lines="+strconv.FormatUint(n, 10)+"\n"...)
	}
	if len(batch) > 0 {
		_, _ = a.out.Write(batch)
	}
}
