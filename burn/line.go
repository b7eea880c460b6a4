package burn

// Line contains the request counts of one node for one route and client account.
type Line struct {
	Route   string `json:"route"`
	Account string `json:"account"`
	Short   Count  `json:"short"`
	Long    Count  `json:"long"`
}
