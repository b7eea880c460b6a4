// Package process starts programs as child processes, signals or kills them, and logs
// their output. Fault soaks and rehearsals use it.
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

// ErrNotStarted means that a process did not print its address in time.
var ErrNotStarted = errors.New("process: no address printed after start")

// startTimeout bounds the wait for a process to print its address.
const startTimeout = 20 * time.Second

// Process is a child process that may be started several times.
type Process struct {
	name string
	args []string
	log  *os.File

	// env is added to the environment. onCrash receives the path of a request that crashed the process.
	env     []string
	onCrash func(path string)

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	paused  bool
	address string
}

// Option configures a Process.
type Option func(*Process)

// WithEnv adds variables to the environment, as NAME=VALUE.
func WithEnv(env ...string) Option { return func(p *Process) { p.env = env } }

// WithCrashHandler sets a function that is called with the path of a request that crashed the process.
func WithCrashHandler(onCrash func(path string)) Option {
	return func(p *Process) { p.onCrash = onCrash }
}

// New returns a process that has not been started. Args holds the program and its
// arguments. The output of the process goes to log, which Close closes.
func New(name string, log *os.File, args []string, opts ...Option) *Process {
	p := &Process{name: name, args: args, log: log}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Name returns the name of the process.
func (p *Process) Name() string { return p.name }

// Close closes the log.
func (p *Process) Close() error { return p.log.Close() }

// Start runs the program and waits for an output line that contains mark. The text
// after the mark, up to a space, is the address.
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
	p.cmd, p.paused, p.exited = cmd, false, over
	p.mu.Unlock()
	found := make(chan string, 1)
	go func() {
		defer close(over)
		p.read(out, mark, found)
		// The exit code is ignored, since most processes are killed.
		_ = cmd.Wait()
	}()
	select {
	case address := <-found:
		p.mu.Lock()
		p.address = address
		p.mu.Unlock()
		return nil
	case <-time.After(startTimeout):
		return errors.Wrap(ErrNotStarted, p.name)
	}
}

// read copies the output to the log and sends the first address after mark to found.
func (p *Process) read(out io.Reader, mark string, found chan<- string) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		// Write errors are ignored: the log is for people only, and a full disk fails the soak elsewhere.
		_, _ = io.WriteString(p.log, line+"\n")
		if _, rest, ok := strings.Cut(line, mark); ok && found != nil {
			address, _, _ := strings.Cut(rest, " ")
			found <- address
			found = nil
		}
		if path, ok := strings.CutPrefix(line, standin.CrashedBy); ok && p.onCrash != nil {
			p.onCrash(path)
		}
	}
}

// Address returns the address that the process printed at its last start.
func (p *Process) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Signal sends a signal to the process if it is running.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	// The error is ignored, since the process may have exited already.
	_ = p.cmd.Process.Signal(s)
	p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
}

// KillMark is the line that Kill appends to the log.
const KillMark = "process_killed"

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() { p.terminate(syscall.SIGKILL) }

// Stop sends SIGTERM to the process and waits until it has exited.
func (p *Process) Stop() { p.terminate(syscall.SIGTERM) }

func (p *Process) terminate(s syscall.Signal) {
	p.Signal(syscall.SIGCONT)
	p.Signal(s)
	p.mu.Lock()
	cmd, over := p.cmd, p.exited
	p.cmd = nil
	p.mu.Unlock()
	if cmd != nil {
		<-over
		if s == syscall.SIGKILL {
			_, _ = io.WriteString(p.log, KillMark+"\n")
		}
	}
}

// Crashed reports whether the process has exited without Kill or Stop.
func (p *Process) Crashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return p.cmd != nil
	default:
		return false
	}
}

// PID returns the process ID. Running is false before Start and after Kill or Stop.
func (p *Process) PID() (pid int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0, false
	}
	return p.cmd.Process.Pid, true
}
