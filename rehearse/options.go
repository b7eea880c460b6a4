package rehearse

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
)

// ErrScale means that a scale leaves nothing to play.
var ErrScale = errors.New("rehearse: the scale leaves no nodes or no requests")

// options are how a rehearsal is played.
type options struct {
	seed           uint64
	binDir, logDir string
	template       string
	scale          float64
	scenario       string
	loadDuration   clock.Millis
	busyProcessors int
	progress       io.Writer
}

// Option sets up a rehearsal.
type Option func(*options)

// WithSeed sets what arrivals, sizes and harm are drawn from.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithBinDir sets the folder of the built programs.
func WithBinDir(folder string) Option { return func(o *options) { o.binDir = folder } }

// WithLogDir sets the folder for the processes' logs and settings.
func WithLogDir(folder string) Option { return func(o *options) { o.logDir = folder } }

// WithSettingsTemplate sets the template of a node's settings.
func WithSettingsTemplate(path string) Option { return func(o *options) { o.template = path } }

// WithScale has a part of the scenario's nodes and rates played; its engines all run.
func WithScale(part float64) Option { return func(o *options) { o.scale = part } }

// WithLoadDuration has callers ask for a time instead of the scenario's; zero for the scenario's.
func WithLoadDuration(lasts clock.Millis) Option { return func(o *options) { o.loadDuration = lasts } }

// WithBusyProcessors has so many processors kept busy beside the rehearsal.
func WithBusyProcessors(processors int) Option {
	return func(o *options) { o.busyProcessors = processors }
}

// WithProgress sets where a line a second goes while it runs.
func WithProgress(out io.Writer) Option { return func(o *options) { o.progress = out } }

func newOptions(opts []Option) options {
	o := options{seed: 1, binDir: "bin", logDir: "rehearsal", template: "deploy/relay.ini.tmpl", scale: 1, progress: io.Discard}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
