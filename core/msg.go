package core

// Msg is something that happened. It is one of the types named ...Msg.
type Msg any

// Cmd is something to be done. It is one of the types named ...Cmd, most of
// them as pointers. A Cmd is valid until the next Update, but for a *StepCmd:
// that one is valid until its step has been answered.
type Cmd any

// TickMsg says that time has passed. It is due every TickInterval.
type TickMsg struct{}
