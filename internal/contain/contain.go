// Package contain limits what a panic costs: one plan, message or order instead of the process. It is for work on values
// that others wrote, and only where nothing half-changed is used afterwards.
package contain

import (
	"expvar"
	"fmt"
	"runtime/debug"
	"sync"

	"go.uber.org/zap"
)

const (
	// maxLogged bounds the panics that are logged: one for each place and cause. Others are only counted.
	maxLogged = 64
	// maxInputBytes and maxStackBytes bound the text of a logged panic.
	maxInputBytes = 8 << 10
	maxStackBytes = 4 << 10
)

// Func runs f, the work of a place, and reports whether it ended without a panic. The input is what the work was about.
type Func func(place string, input func() string, f func()) bool

// GuardFunc runs f, the work of a place that can't be contained, since its state may be half changed after a panic.
// A panic ends the process in a way that tells callers what became of their requests.
type GuardFunc func(place string, f func())

// Unguarded is a GuardFunc that only runs f.
func Unguarded(_ string, f func()) { f() }

// Direct runs the work without containment.
func Direct(_ string, _ func() string, f func()) bool {
	f()
	return true
}

// Panics contains, counts and logs panics. It is safe for concurrent use.
type Panics struct {
	log    *zap.Logger
	counts expvar.Map
	mu     sync.Mutex
	logged map[string]bool
}

// New returns a Panics without counts.
func New(log *zap.Logger) *Panics { return &Panics{log: log, logged: make(map[string]bool)} }

// Counts returns the number of panics by place.
func (p *Panics) Counts() *expvar.Map { return &p.counts }

// Run implements Func.
func (p *Panics) Run(place string, input func() string, f func()) (ok bool) {
	return p.run("panic_contained", place, input, f)
}

// Guard runs f, the work of a place whose state may be half changed after a panic. The panic is counted and
// logged, and fatal is then called. Guard reports whether f ended without a panic.
func (p *Panics) Guard(place string, f func(), fatal func()) (ok bool) {
	if p.run("panic", place, func() string { return "" }, f) {
		return true
	}
	fatal()
	return false
}

func (p *Panics) run(event, place string, input func() string, f func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			p.record(event, place, input, cause, debug.Stack())
		}
	}()
	f()
	return true
}

func (p *Panics) record(event, place string, input func() string, cause any, stack []byte) {
	p.counts.Add(place, 1)
	key := fmt.Sprint(place, ": ", cause)
	p.mu.Lock()
	first := !p.logged[key] && len(p.logged) < maxLogged
	if first {
		p.logged[key] = true
	}
	p.mu.Unlock()
	if !first {
		return
	}
	text := input()
	p.log.Error(event, zap.String("place", place), zap.String("cause", fmt.Sprint(cause)),
		zap.String("input", text[:min(len(text), maxInputBytes)]), zap.String("stack", string(stack[:min(len(stack), maxStackBytes)])))
}
