package quarantine

// Fate is what is believed of an upstream under which works were lost.
type Fate uint8

// The fates of upstreams.
const (
	// Unknown: it has been asked, and has not answered yet.
	Unknown Fate = iota
	// Silent: it answers nothing, not even a question on a new connection. It may have
	// ended, or be cut off.
	Silent
	// Ended: its entry is gone, or another process is in its place.
	Ended
)
