package logging

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hoistjunction/hoistjunction/ring"
)

const (
	// maxQueuedLines bounds the lines in the queue. At some 300 bytes per line, these take about
	// 2 MB.
	maxQueuedLines = 8192
	// flushInterval is the maximum time that a line waits to be written in a batch with others.
	flushInterval = 40 * time.Millisecond
	// maxBatchBytes is the batch size, in bytes, at which a batch is written at once.
	maxBatchBytes = 32 << 10
)

// Async writes log lines from a background goroutine and never blocks its caller. When the queue
// is full it drops new lines, and later logs how many were dropped.
type Async struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	closing chan struct{}
	stopped chan struct{}
}

// NewAsync returns an asynchronous writer to out.
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

// Sync implements zapcore.WriteSyncer and does nothing. Close writes the queued lines.
func (a *Async) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (a *Async) Dropped() uint64 { return a.lines.Refused() }

// Close writes the queued lines and stops the goroutine.
func (a *Async) Close() {
	close(a.closing)
	<-a.stopped
}

// run writes queued lines in batches until Close is called.
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

// fillBatch adds queued lines to a batch until the batch is full or flushInterval has passed.
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

// drain adds all queued lines to a batch.
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

// flush writes a batch. A failed write is ignored, since there is nowhere to report it.
func (a *Async) flush(batch []byte) {
	if n := a.dropped.Swap(0); n > 0 {
		batch = append(batch, "level=warn event=log_lines_dropped lines="+strconv.FormatUint(n, 10)+"\n"...)
	}
	if len(batch) > 0 {
		_, _ = a.out.Write(batch)
	}
}
