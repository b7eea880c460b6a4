package reachability

// State is what a node knows about its links to the upstreams of a data centre.
type State uint8

const (
	// Reached means that at most one upstream is known not to be reached.
	Reached State = iota
	// Doubtful means that several upstreams failed, here or in other data centres too, and none has
	// answered since.
	Doubtful
	// Cut means that so many upstreams failed, and none has answered since, that the node counts
	// as partitioned from the data centre.
	Cut
)

var stateNames = [...]string{"reached", "doubtful", "cut"}

// String returns the name of the state in logs.
func (s State) String() string { return stateNames[s] }
