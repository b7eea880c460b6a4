package main

import "testing"

// Guards against two runs of one seed at a time that share their settings, so that the nodes of one follow the
// other's store.
func TestRunsOfOneSeedHaveFoldersOfTheirOwn(t *testing.T) {
	parent := t.TempDir()
	var dirs [2]string
	for i := range dirs {
		dir, err := runDir(parent, 7)
		if err != nil {
			t.Fatal(err)
		}
		dirs[i] = dir
	}
	if dirs[0] == dirs[1] {
		t.Errorf("got the folder %s twice, want two folders", dirs[0])
	}
}
