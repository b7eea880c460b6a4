// Package process starts programs as processes of their own, does harm to them from outside,
// and keeps what they print. Fault soaks and rehearsals are made of it.
package process

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/standin"
)

// ErrNotStarted means that a process did not say where it listens.
var ErrNotStarted = errors.New("process: it did not start")

// startTime bounds the wait for a process to say where it listens.
const startTime = 20 * time.Second

// Process is one program that was started.
type Process struct {
	name string
	args []string
	log  *os.File

	// env is added to its environment, and ended told by which request it has ended.
	env   []string
	ended func(path string)

	mu      sync.Mutex
	cmd     *exec.Cmd
	over    chan struct{}
	paused  bool
	address string
}

// Option sets up a Process.
type Option func(*Process)

// WithEnv adds variables to its environment, as NAME=text.
func WithEnv(env ...string) Option { return func(p *Process) { p.env = env } }

// WithEnded sets who is told by which request it has ended.
func WithEnded(ended func(path string)) Option { return func(p *Process) { p.ended = ended } }

// New returns a process that is not started, of a program with its arguments. What it prints
// goes into the log, which Close closes.
func New(name string, log *os.File, args []string, opts ...Option) *Process {
	p := &Process{name: name, args: args, log: log}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Name is what it is called.
func (p *Process) Name() string { return p.name }

// Close closes its log.
func (p *Process) Close() error { return p.log.Close() }

// Start runs the program, and waits for a line with a mark, whose rest up to a
// blank is the address.
func (p *Process) Start(mark string) error {
	cmd := exec.Command(p.args[0], p.args[1:]...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = p.log
	cmd.Env = append(os.Environ(), p.env...)
	if err := cmd.Start(); err != nil {
		return err
	}
	over := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.paused, p.over = cmd, false, over
	p.mu.Unlock()
	found := make(chan string, 1)
	go func() {
		defer close(over)
		p.read(out, mark, found)
		// Its exit code is its own affair: most of them are killed.
		_ = cmd.Wait()
	}()
	select {
	case address := <-found:
		p.mu.Lock()
		p.address = address
		p.mu.Unlock()
		return nil
	case <-time.After(startTime):
		return errors.Wrap(ErrNotStarted, p.name)
	}
}

// read copies the output to the log, and reports the first marked address.
func (p *Process) read(out io.Reader, mark string, found chan<- string) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		// A full disk would fail the soak elsewhere; the log is only for people.
		_, _ = io.WriteString(p.log, line+"\n")
		if _, rest, ok := strings.Cut(line, mark); ok && found != nil {
			address, _, _ := strings.Cut(rest, " ")
			found <- address
			found = nil
		}
		if path, ok := strings.CutPrefix(line, standin.CrashedBy); ok && p.ended != nil {
			p.ended(path)
		}
	}
}

// Address is where it listens, by its own word.
func (p *Process) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	// The process may have ended by itself; then there is nobody to signal.
	_ = p.cmd.Process.Signal(s)
	p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() { p.end(syscall.SIGKILL) }

// Stop asks the process to end, and waits.
func (p *Process) Stop() { p.end(syscall.SIGTERM) }

func (p *Process) end(s syscall.Signal) {
	p.Signal(syscall.SIGCONT)
	p.Signal(s)
	p.mu.Lock()
	cmd, over := p.cmd, p.over
	p.cmd = nil
	p.mu.Unlock()
	if cmd != nil {
		<-over
	}
}

// Crashed tells whether the process has ended by itself.
func (p *Process) Crashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.over:
		return p.cmd != nil
	default:
		return false
	}
}

// PID is its number; running is false for one that is not started or was ended.
func (p *Process) PID() (pid int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0, false
	}
	return p.cmd.Process.Pid, true
}
