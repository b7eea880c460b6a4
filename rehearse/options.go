package rehearse

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
)

// ErrScale means that the scale leaves no nodes or no load.
var ErrScale = errors.New("rehearse: the scale leaves no nodes or no requests")

// options are the settings of a rehearsal.
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

// Option changes a setting of a rehearsal.
type Option func(*options)

// WithSeed sets the seed for arrival times, request sizes and fault targets.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithBinDir sets the folder of the built programs.
func WithBinDir(folder string) Option { return func(o *options) { o.binDir = folder } }

// WithLogDir sets the folder for the logs and settings of the processes.
func WithLogDir(folder string) Option { return func(o *options) { o.logDir = folder } }

// WithSettingsTemplate sets the path of the template for the nodes' settings.
func WithSettingsTemplate(path string) Option { return func(o *options) { o.template = path } }

// WithScale sets the fraction of the scenario's nodes and request rates to run. The number of
// engines does not change.
func WithScale(fraction float64) Option { return func(o *options) { o.scale = fraction } }

// WithLoadDuration sets how long callers send requests; zero means the scenario's duration.
func WithLoadDuration(duration clock.Millis) Option {
	return func(o *options) { o.loadDuration = duration }
}

// WithBusyProcessors sets the number of processors that are kept busy during the rehearsal.
func WithBusyProcessors(processors int) Option {
	return func(o *options) { o.busyProcessors = processors }
}

// WithProgress sets the writer for one progress line per second.
func WithProgress(out io.Writer) Option { return func(o *options) { o.progress = out } }

func newOptions(opts []Option) options {
	o := options{seed: 1, binDir: "bin", logDir: "rehearsal", template: "deploy/relay.ini.tmpl", scale: 1, progress: io.Discard}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
