package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/internal/fixedseed"
	"github.com/hoistjunction/hoistjunction/settings"
)

var loadExamples = [][]byte{
	[]byte("[node]\nport = 1\n"),
	[]byte("[node]\nport = x\n[other]\n"),
	[]byte("port = 1\n[node"),
}

func checkLoad(t *testing.T, text []byte) {
	path := filepath.Join(t.TempDir(), "f.ini")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	s := settings.NewSet()
	port := 0
	s.Int("node", "port", &port, 1, 100, settings.WithDefault("7"))
	err := s.Load(path)
	if err != nil && !errors.Is(err, settings.ErrSettings) {
		t.Errorf("got error %v, want ErrSettings", err)
	}
	if err == nil && (port < 1 || port > 100) {
		t.Errorf("got port %d from %q, want one in range", port, text)
	}
}

func FuzzLoad(f *testing.F) {
	for _, e := range loadExamples {
		f.Add(e)
	}
	f.Fuzz(checkLoad)
}

func TestLoadMutatedInputs(t *testing.T) {
	fixedseed.Mutate(loadExamples, func(input []byte) { checkLoad(t, input) })
}
