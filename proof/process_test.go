package proof

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"
)

// testTimeout bounds each wait in the tests.
const testTimeout = 30 * time.Second

// nodeBinary is the path of the entry node program, built once for all tests.
var nodeBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hoistjunction")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	nodeBinary = filepath.Join(dir, "hoistjunction")
	build := exec.Command("go", "build", "-o", nodeBinary, "../cmd/hoistjunction")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is an entry node running as a child process.
type process struct {
	*exec.Cmd
	caller string
	admin  string
}

var listeningLine = regexp.MustCompile(`event=listening port=(\w+) address=(\S+)`)

// startProcess starts an entry node and kills it at the end of the test.
func startProcess(t testing.TB, settings string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(nodeBinary, "--settings", path)}
	logs, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatalf("got %v, want the process started", err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
	})
	scanner := bufio.NewScanner(logs)
	for (p.caller == "" || p.admin == "") && scanner.Scan() {
		if m := listeningLine.FindStringSubmatch(scanner.Text()); m != nil {
			p.setAddress(m[1], m[2])
		}
	}
	if p.admin == "" {
		t.Fatal("got no listening address of the process, want the caller and admin ports")
	}
	go func() {
		for scanner.Scan() {
			continue
		}
	}()
	return p
}

func (p *process) setAddress(port, address string) {
	switch port {
	case "caller":
		p.caller = address
	case "admin":
		p.admin = address
	}
}
