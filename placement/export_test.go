package placement

import "github.com/hoistjunction/hoistjunction/fleet"

// Holding returns the engine with layers of the model that it is planned for.
func (e Engine) Holding(layers fleet.LayerRange) Engine {
	e.held = layers
	return e
}

// Held returns the layers that the engine holds.
func (e Engine) Held() fleet.LayerRange { return e.held }
