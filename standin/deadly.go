package standin

import "strings"

// CrashPath is in the path of a request that ends each server that begins to run it.
const CrashPath = "deadly"

// CrashedBy is what a stand-in's process prints before the path of the request that ends it.
const CrashedBy = "ended_by "

// CausesCrash tells whether the request of a path ends the server that begins to run it. It
// does so each time that it comes, at every server; no other request does.
func CausesCrash(path string) bool { return strings.Contains(path, CrashPath) }

// crashFault is how a server ends when it begins to run a deadly request.
type crashFault struct {
	// terminate ends the server, given the request's path; nil for one that no request ends.
	terminate func(path string)
}

// trigger ends the server if the request that it begins to run is deadly, and reports that.
func (c crashFault) trigger(path string) bool {
	if c.terminate == nil || !CausesCrash(path) {
		return false
	}
	c.terminate(path)
	return true
}
