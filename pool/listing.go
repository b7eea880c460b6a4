package pool

// Listing is one line of the platform's list of VMs, as far as routing needs
// it. The list lags and may leave VMs out.
type Listing struct {
	Name string `json:"name"`
	// Incarnation differs after each restart.
	Incarnation string `json:"incarnation"`
	// Group is the pool that the configuration names.
	Group      string `json:"group"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Kind names the accelerator.
	Kind    string `json:"kind"`
	Leaving bool   `json:"leaving,omitempty"`
}
