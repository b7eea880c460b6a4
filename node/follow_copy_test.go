package node

import "testing"

// Guards against a confirmed configuration that nodes which follow another one never get, and
// hold theirs to be the newest meanwhile, after the store has come back from a copy.
func TestChangesAreKnownAfterTheStoreReturns(t *testing.T) { runScripts(t, "testdata/follow_copy") }
