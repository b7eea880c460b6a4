package soak

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

// errNotStarted means that a process did not say where it listens.
var errNotStarted = errors.New("soak: process did not start")

// startTime bounds the wait for a process to say where it listens.
const startTime = 20 * time.Second

// process is one program that the soak has started.
type process struct {
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

// start runs the program, and waits for a line with a mark, whose rest up to a
// blank is the address.
func (p *process) start(mark string) error {
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
		return errors.Wrap(errNotStarted, p.name)
	}
}

// read copies the output to the log, and reports the first marked address.
func (p *process) read(out io.Reader, mark string, found chan<- string) {
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
		if path, ok := strings.CutPrefix(line, standin.EndedBy); ok && p.ended != nil {
			p.ended(path)
		}
	}
}

func (p *process) at() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	// The process may have ended by itself; then there is nobody to signal.
	_ = p.cmd.Process.Signal(s)
	p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
}

// kill ends the process at once and waits for its end.
func (p *process) kill() { p.end(syscall.SIGKILL) }

// stop asks the process to end, and waits.
func (p *process) stop() { p.end(syscall.SIGTERM) }

func (p *process) end(s syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	p.mu.Lock()
	cmd, over := p.cmd, p.over
	p.cmd = nil
	p.mu.Unlock()
	if cmd != nil {
		<-over
	}
}

// crashed tells whether the process has ended by itself.
func (p *process) crashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.over:
		return p.cmd != nil
	default:
		return false
	}
}
