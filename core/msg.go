package core

// Msg is an event that the Model handles. Its types are named ...Msg.
type Msg any

// Cmd is an action that the caller of Update executes. Its types are named ...Cmd, and most are
// passed as pointers. A Cmd is valid until the next Update, except a *StepCmd, which is valid until
// its step has been answered.
type Cmd any

// TickMsg reports that time has passed. It is due every TickInterval.
type TickMsg struct{}
