package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hoistjunction/hoistjunction/testbed"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hoistctl": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			bed, err := testbed.Start()
			if err != nil {
				return err
			}
			env.Defer(bed.Close)
			if err := bed.Configure(testbed.Changes()...); err != nil {
				return err
			}
			token := filepath.Join(env.WorkDir, "token")
			env.Setenv("HOIST_NODE", bed.Nodes[0].AdminAddress())
			env.Setenv("HOIST_TOKEN_FILE", token)
			return os.WriteFile(token, []byte(testbed.OperatorToken+"\n"), 0o600)
		},
	})
}
