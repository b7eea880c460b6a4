package testbed

import (
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/standin"
)

// Stage is the engines of one stage. Speeds stretches the time that the
// engines take, in turn, so that accelerators are of mixed kinds.
type Stage struct {
	Pool   string
	Copies int
	Engine standin.EngineConfig
	Speeds []float64
}

type options struct {
	nodes     int
	stages    []Stage
	services  int
	work      time.Duration
	grace     clock.Millis
	policy    core.Policy
	chooser   string
	recording int
	tls       [3]string
}

// Option sets up a testbed.
type Option func(*options)

func defaults() options {
	return options{
		nodes: 2, stages: Stages(2, standin.DefaultEngineConfig()), services: 1, work: 2 * time.Millisecond,
		grace: 100, policy: core.DefaultPolicy(), chooser: "two_choices", recording: 1 << 14,
	}
}

// Layers is how many layers the testbed's model has.
const Layers = 12

// Stages returns three stages of four layers, each on so many engines.
func Stages(copies int, c standin.EngineConfig) []Stage {
	var stages []Stage
	for i, name := range []string{"low", "middle", "high"} {
		c.FirstLayer = uint32(i * 4)
		c.LastLayer = c.FirstLayer + 3
		c.Final = i == 2
		stages = append(stages, Stage{Pool: name, Copies: copies, Engine: c})
	}
	return stages
}

// WithNodes sets the number of entry nodes.
func WithNodes(n int) Option { return func(o *options) { o.nodes = n } }

// WithStages sets the engines.
func WithStages(stages ...Stage) Option { return func(o *options) { o.stages = stages } }

// WithServices sets the number of plain services, and how long a call takes.
func WithServices(n int, work time.Duration) Option {
	return func(o *options) { o.services, o.work = n, work }
}

// WithPolicy sets the nodes' policy and how they choose upstreams.
func WithPolicy(p core.Policy, chooser string) Option {
	return func(o *options) { o.policy, o.chooser = p, chooser }
}

// WithTLS sets the nodes' certificate, its key, and the authority.
func WithTLS(cert, key, ca string) Option {
	return func(o *options) { o.tls = [3]string{cert, key, ca} }
}

// WithRecording sets how many messages the nodes record.
func WithRecording(n int) Option { return func(o *options) { o.recording = n } }
