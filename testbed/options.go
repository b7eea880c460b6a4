package testbed

import (
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/standin"
)

// Stage describes the engines of one stage. Slowdowns holds factors by which step times
// are multiplied, assigned to the engines in turn, to emulate mixed accelerators.
type Stage struct {
	Pool      string
	Copies    int
	Engine    standin.EngineConfig
	Slowdowns []float64
}

type options struct {
	nodes       int
	stages      []Stage
	services    int
	serviceTime time.Duration
	grace       clock.Millis
	policy      core.Policy
	chooser     string
	recording   int
	tls         [3]string
}

// Option configures a testbed.
type Option func(*options)

func defaults() options {
	return options{
		nodes: 2, stages: Stages(2, standin.DefaultEngineConfig()), services: 1, serviceTime: 2 * time.Millisecond,
		grace: 100, policy: core.DefaultPolicy(), chooser: "two_choices", recording: 1 << 14,
	}
}

// Layers is the number of layers of the testbed's model.
const Layers = 12

// Stages returns three stages of four layers each, with the given number of engines per stage.
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

// WithStages sets the stages and their engines.
func WithStages(stages ...Stage) Option { return func(o *options) { o.stages = stages } }

// WithServices sets the number of plain services and the time that a call takes.
func WithServices(n int, work time.Duration) Option {
	return func(o *options) { o.services, o.serviceTime = n, work }
}

// WithPolicy sets the nodes' policy and the name of the upstream chooser.
func WithPolicy(p core.Policy, chooser string) Option {
	return func(o *options) { o.policy, o.chooser = p, chooser }
}

// WithTLS sets the paths of the nodes' certificate, its key and the CA certificate.
func WithTLS(cert, key, ca string) Option {
	return func(o *options) { o.tls = [3]string{cert, key, ca} }
}

// WithRecording sets the number of messages that each node's recording holds.
func WithRecording(n int) Option { return func(o *options) { o.recording = n } }
