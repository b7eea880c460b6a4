package fleet

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/catalog"
)

// Field is a part of an entry that the configuration of a pipeline service restricts.
type Field string

// The fields that EngineOf checks.
const (
	FieldKind   Field = "kind"
	FieldModel  Field = "model"
	FieldLayers Field = "layers"
	FieldMemory Field = "memory"
)

// MisfitError reports a field of an entry that contradicts the configuration of its service.
type MisfitError struct {
	Field Field
	// Value is what the entry contains, and Allowed what the configuration allows.
	Value, Allowed any
}

// Error implements error.
func (e *MisfitError) Error() string {
	return fmt.Sprintf("fleet: %s of the entry does not fit its service: got %v, allowed %v", e.Field, e.Value, e.Allowed)
}

// errNoPipeline means that a service has no engines.
var errNoPipeline = errors.New("fleet: service has no pipeline")

// Engine is an upstream that fits a pipeline service: it has one of the service's accelerators and models, and its
// layers are layers of the model that fit into the accelerator's memory. Only EngineOf returns one, so that
// whoever indexes by layer needs no check of its own. It is valid for the configuration that it was checked
// against. The zero value is no engine and holds no layers.
type Engine struct {
	pipeline    *catalog.Pipeline
	accelerator catalog.Accelerator
	held        LayerRange
}

// EngineOf checks an upstream against its service. The error is a MisfitError, or says that the service has no
// pipeline.
func EngineOf(s *catalog.Service, u Upstream) (Engine, error) {
	if s == nil || s.Pipeline == nil {
		return Engine{}, errNoPipeline
	}
	accelerator, ok := s.Pipeline.Accelerators[u.Accelerator]
	if !ok {
		return Engine{}, &MisfitError{Field: FieldKind, Value: u.Accelerator, Allowed: "a kind of the service"}
	}
	if !s.Pipeline.HasModel(u.Model) {
		return Engine{}, &MisfitError{Field: FieldModel, Value: u.Model, Allowed: "a model of the service"}
	}
	return Engine{pipeline: s.Pipeline, accelerator: accelerator}.Holding(u.Held)
}

// Holding returns the engine with other layers, if they fit.
func (e Engine) Holding(layers LayerRange) (Engine, error) {
	if e.pipeline == nil {
		return Engine{}, errNoPipeline
	}
	if layers.From < 0 || layers.To < layers.From || layers.To > e.pipeline.Layers {
		return Engine{}, &MisfitError{Field: FieldLayers, Value: layers, Allowed: LayerRange{To: e.pipeline.Layers}}
	}
	if !e.pipeline.Fits(e.accelerator, layers.Len()) {
		return Engine{}, &MisfitError{Field: FieldMemory, Value: layers, Allowed: e.pipeline.MaxLayers(e.accelerator)}
	}
	e.held = LayerRange{}
	if !layers.Empty() {
		e.held = layers
	}
	return e, nil
}

// Held returns the layers that the engine holds.
func (e Engine) Held() LayerRange { return e.held }

// Accelerator returns the engine's accelerator.
func (e Engine) Accelerator() catalog.Accelerator { return e.accelerator }
