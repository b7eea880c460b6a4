package relay

import "github.com/hoistjunction/hoistjunction/dispatch"

const (
	// maxDecisions is the number of decisions that can wait for a session: the model starts an attempt
	// only after the session has reported the end of the one before, and decides nothing after it has
	// ended a request.
	maxDecisions = 2
	// maxAdvice bounds the waiting commands about the current attempt, such as the migrations of its
	// stream. The model repeats what was not followed.
	maxAdvice = 8
)

// mailbox carries the commands of the decider to a session, which may be busy writing to a slow caller.
type mailbox struct {
	// decisions holds attempts to start and the end of the request. Without it a request would stay open
	// until its deadline.
	decisions chan dispatch.Cmd
	// advice holds commands about the current attempt; further ones are dropped while it is full.
	advice chan dispatch.Cmd
}

func newMailbox() *mailbox {
	return &mailbox{decisions: make(chan dispatch.Cmd, maxDecisions), advice: make(chan dispatch.Cmd, maxAdvice)}
}

// put adds a command without blocking and reports whether there was space for it.
func (b *mailbox) put(cmd dispatch.Cmd) bool {
	target := b.advice
	if isDecision(cmd) {
		target = b.decisions
	}
	select {
	case target <- cmd:
		return true
	default:
		return false
	}
}

// isDecision reports whether a command starts an attempt or ends the request.
func isDecision(cmd dispatch.Cmd) bool {
	switch cmd.(type) {
	case dispatch.SendCmd, dispatch.RespondCmd, dispatch.RelayFailureCmd, dispatch.AbortResponseCmd, dispatch.EndRequestCmd:
		return true
	}
	return false
}
