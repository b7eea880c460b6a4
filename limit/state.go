package limit

// State is whether a request may be sent to an upstream.
type State uint8

const (
	// Free means that it names no limit.
	Free State = iota
	// Permitted means that there is a permit for a request.
	Permitted
	// Askable means that there is none, and one may be asked for.
	Askable
	// Waiting means that one has been asked for.
	Waiting
	// Spent means that none can be had before a time.
	Spent
)
