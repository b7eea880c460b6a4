package standin

import "strings"

// CrashPath is the part of a request's path that makes each server crash that
// starts to execute the request.
const CrashPath = "deadly"

// CrashPart is the beginning of the id of a part of a prompt that makes each
// engine crash that starts to execute a request with it, unless it is the last
// part. Ids are hexadecimal.
const CrashPart = "dead"

// CrashedBy is the prefix of the line that a stand-in's process prints before it
// crashes. The cause follows: the path of the request or the id of the part.
const CrashedBy = "ended_by "

// ExecutedMark is the prefix of the line that an engine's process prints before it executes an attempt.
const ExecutedMark = "executed id="

// CausesCrash reports whether a request with this path crashes the server that
// starts to execute it. It does so on each attempt and on every server.
func CausesCrash(path string) bool { return strings.Contains(path, CrashPath) }

// CrashingPart returns the id of the first part of a prompt that crashes
// engines; empty if there is none.
func CrashingPart(prompt string) string {
	for {
		part, rest, more := strings.Cut(prompt, ",")
		if !more {
			return ""
		}
		if id, _, _ := strings.Cut(part, ":"); strings.HasPrefix(id, CrashPart) {
			return id
		}
		prompt = rest
	}
}

// crashFault crashes a server that starts to execute a request with CrashPath
// or, at an engine, with a part that begins with CrashPart.
type crashFault struct {
	// terminate crashes the server, given the cause: the request's path or the
	// id of the part; nil disables the fault.
	terminate func(cause string)
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
