package fairshare

// Request is a new request of an account.
type Request struct {
	Account string
	// Amount is the capacity that the request uses while it is in progress, in tokens times layers.
	Amount float64
	// Draw is a number from 0 up to 1 that is uniformly distributed over requests and nodes.
	Draw float64
}
