package sizing

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/settings"
)

// ErrFleet means that a fleet file says something that cannot be.
var ErrFleet = errors.New("sizing: the fleet file is not valid")

// Bounds of what a fleet file may say.
const (
	maxLayers  = 10_000
	maxNumber  = 1e12
	maxEngines = 100_000
)

// Fleet is a model and the engines that are to hold it.
type Fleet struct {
	pipeline catalog.Pipeline
	// engineCounts counts them by data centre and kind of accelerator.
	engineCounts map[string]map[string]int
}

// New returns a fleet without engines, for Declare.
func New() *Fleet { return &Fleet{engineCounts: make(map[string]map[string]int)} }

// Load reads a fleet file.
func Load(path string) (*Fleet, error) {
	f := New()
	set := settings.NewSet()
	finish := f.Declare(set)
	if err := set.Load(path); err != nil {
		return nil, err
	}
	if err := finish(); err != nil {
		return nil, err
	}
	return f, nil
}

// Pipeline returns the model.
func (f *Fleet) Pipeline() *catalog.Pipeline { return &f.pipeline }

// DataCentres returns the names of the data centres, sorted.
func (f *Fleet) DataCentres() []string { return f.dataCentres() }

// EngineCount returns how many engines of a kind a data centre has.
func (f *Fleet) EngineCount(centre, kind string) int { return f.engineCounts[centre][kind] }

// Scaled returns a fleet with so many times as many engines of each kind in each data centre.
func (f *Fleet) Scaled(times float64) *Fleet {
	scaled := &Fleet{pipeline: f.pipeline, engineCounts: make(map[string]map[string]int)}
	for centre, kinds := range f.engineCounts {
		scaled.engineCounts[centre] = make(map[string]int)
		for kind, n := range kinds {
			scaled.engineCounts[centre][kind] = int(math.Ceil(float64(n) * times))
		}
	}
	return scaled
}

// Declare declares what a fleet file may hold, also as a part of a larger file. Finish reads
// the rest once the file is loaded.
func (f *Fleet) Declare(set *settings.Set) (finish func() error) {
	kinds, centres := make(map[string]string), make(map[string]string)
	p := &f.pipeline
	set.Int("model", "layers", &p.Layers, 1, maxLayers, settings.Required())
	set.Float("model", "layer_mb", &p.LayerMB, 0, maxNumber, settings.Required())
	set.Float("model", "token_bytes", &p.TokenBytes, 0, maxNumber, settings.Required())
	set.Float("model", "step_ms", &p.StepMS, 0, maxNumber, settings.Required())
	set.Float("model", "sequence_ms", &p.SequenceMS, 0, maxNumber, settings.WithDefault("0"))
	set.Float("model", "context_ms", &p.ContextMS, 0, maxNumber, settings.WithDefault("0"))
	set.Float("model", "read_tokens_in_ms", &p.ReadRate, 0, maxNumber, settings.Required())
	set.Float("model", "read_in_pass", &p.PromptTokensPerPass, 0, maxNumber, settings.WithDefault("0"))
	set.Float("model", "steps_in_pass", &p.StepsPerPass, 1, maxNumber, settings.WithDefault("1"))
	set.Float("model", "load_ms", &p.LoadMS, 0, maxNumber, settings.Required())
	set.Float("model", "prompt_tokens", &p.MeanPromptTokens, 0, maxNumber, settings.Required())
	set.Float("model", "answer_tokens", &p.MeanAnswerTokens, 0, maxNumber, settings.Required())
	set.Map("accelerators", kinds)
	set.Map("engines", centres)
	return func() error { return errors.CombineErrors(f.parseAccelerators(kinds), f.parseEngines(centres)) }
}

// parseAccelerators reads lines like "large = 72000 2.4 3.2": the memory in MB, and the
// factors on the time of a step and of reading.
func (f *Fleet) parseAccelerators(kinds map[string]string) error {
	f.pipeline.Accelerators = make(map[string]catalog.Accelerator)
	for name, text := range kinds {
		a := catalog.Accelerator{Name: name}
		if _, err := fmt.Sscan(text, &a.MemoryMB, &a.StepFactor, &a.ReadFactor); err != nil || a.MemoryMB <= 0 || a.StepFactor <= 0 || a.ReadFactor <= 0 {
			return errors.Wrapf(ErrFleet, "[accelerators] %s = %q: write its memory in MB, its factor on a step and its factor on reading, as in 72000 2.4 3.2", name, text)
		}
		f.pipeline.Accelerators[name] = a
	}
	return nil
}

// parseEngines reads lines like "north = large:2 small:4".
func (f *Fleet) parseEngines(centres map[string]string) error {
	for centre, text := range centres {
		f.engineCounts[centre] = make(map[string]int)
		for _, word := range strings.Fields(text) {
			kind, number, _ := strings.Cut(word, ":")
			n, err := strconv.Atoi(number)
			if _, known := f.pipeline.Accelerators[kind]; !known || err != nil || n < 0 || n > maxEngines {
				return errors.Wrapf(ErrFleet, "[engines] %s: %q: write a kind from [accelerators] and a number, as in large:2", centre, word)
			}
			f.engineCounts[centre][kind] += n
		}
	}
	if len(f.engineCounts) == 0 {
		return errors.Wrap(ErrFleet, "[engines] names no data centre; add one, as in north = large:2")
	}
	return nil
}

// engineList returns the engines of a data centre, with some more of a kind; extra may be
// empty.
func (f *Fleet) engineList(centre, extra string) []placement.Engine {
	var list []placement.Engine
	for _, kind := range f.acceleratorKinds() {
		n := f.engineCounts[centre][kind]
		if kind == extra {
			n++
		}
		a := f.pipeline.Accelerators[kind]
		for i := range n {
			list = append(list, placement.Engine{
				ID: fleet.IncarnationByID(fleet.ID(fmt.Sprintf("%s-%s-%d", centre, kind, i+1))), DataCentre: centre,
				LayerCapacity: f.pipeline.MaxLayers(a), MemoryLayers: f.pipeline.MemoryInLayers(a),
				LayerTime: f.pipeline.StepTime(a, 1), ReadTime: f.pipeline.ReadTime(a, 1),
			})
		}
	}
	return list
}

// acceleratorKinds returns the names of the accelerators, sorted.
func (f *Fleet) acceleratorKinds() []string { return sortedKeys(f.pipeline.Accelerators) }

// dataCentres returns the names of the data centres, sorted.
func (f *Fleet) dataCentres() []string { return sortedKeys(f.engineCounts) }

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
