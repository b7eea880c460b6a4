// Package fixedseed runs a package's property tests with a fixed seed and fixed
// sizes, so that their result is reproducible.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests and exits. It is called from TestMain. Sizes maps flags of rapid to
// values; a flag set on the command line takes precedence.
func Main(m *testing.M, sizes map[string]string) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	for name, value := range sizes {
		setDefault(name, value)
	}
	os.Exit(m.Run())
}

func setDefault(name, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}
