package node

import "testing"

// Guards against nodes that follow a reader, never get a configuration that was confirmed after
// a store restore, and take their old one as the newest.
func TestChangesReachNodesAfterStoreRestore(t *testing.T) { runScripts(t, "testdata/follow_copy") }
