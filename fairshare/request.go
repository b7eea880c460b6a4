package fairshare

// Request is a new request of an account.
type Request struct {
	Account string
	// Amount is the capacity that the request uses while it is in progress, in tokens times layers.
	Amount float64
	// Draw is a number from 0 up to 1 that is uniformly distributed over requests. It selects the time
	// at which a node admits the first request of an account that becomes limited.
	Draw float64
}
