package pool

// Listing is an entry of the platform's list of VMs, reduced to the fields that
// routing needs. The list lags behind and may omit VMs.
type Listing struct {
	Name string `json:"name"`
	// Incarnation changes with each restart of the VM.
	Incarnation string `json:"incarnation"`
	// Group is the name of the upstream pool in the configuration.
	Group      string `json:"group"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Kind names the accelerator model.
	Kind    string `json:"kind"`
	Leaving bool   `json:"leaving,omitempty"`
}
