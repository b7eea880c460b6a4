// Package fixedseed runs a package's tests with the seed and the size of its
// property tests fixed, so that they reach the same verdict every time.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// Main is to be called from TestMain. Sizes are flags of rapid and their
// values, by name; what the command line sets goes first.
func Main(m *testing.M, sizes map[string]string) {
	flag.Parse()
	set("rapid.seed", "1")
	for name, value := range sizes {
		set(name, value)
	}
	os.Exit(m.Run())
}

func set(name, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}
