package quarantine

// UpstreamState is what is believed of an upstream under which works were lost.
type UpstreamState uint8

// The fates of upstreams.
const (
	// Unknown: it has been asked, and has not answered yet.
	Unknown UpstreamState = iota
	// Silent: it answers nothing, not even a question on a new connection. It may have
	// ended, or be cut off.
	Unresponsive
	// Ended: its entry is gone, or another process is in its place.
	Ended
)
