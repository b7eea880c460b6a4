package standin

import "strings"

// CrashPath is the part of a request's path that makes each server crash that
// starts to execute the request.
const CrashPath = "deadly"

// CrashedBy is the prefix of the line that a stand-in's process prints before it
// crashes. The path of the request follows.
const CrashedBy = "ended_by "

// ExecutedMark is the prefix of the line that an engine's process prints before it executes an attempt.
const ExecutedMark = "executed id="

// CausesCrash reports whether a request with this path crashes the server that
// starts to execute it. It does so on each attempt and on every server.
func CausesCrash(path string) bool { return strings.Contains(path, CrashPath) }

// crashFault crashes a server that starts to execute a request with CrashPath.
type crashFault struct {
	// terminate crashes the server, given the request's path; nil disables the fault.
	terminate func(path string)
}

// trigger crashes the server if the request's path contains CrashPath, and
// reports whether it did.
func (c crashFault) trigger(path string) bool {
	if c.terminate == nil || !CausesCrash(path) {
		return false
	}
	c.terminate(path)
	return true
}
