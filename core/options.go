package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/wire"
)

// TickEvery is how often a TickMsg is due.
const TickEvery clock.Millis = 20

// Option sets up a Model.
type Option func(*Model)

// WithNode sets the node's own record. Its incarnation must be new.
func WithNode(n *wire.NodeRecord) Option { return func(m *Model) { m.node = n } }

// WithSecret sets what the tags of tickets are made with.
func WithSecret(secret []byte) Option { return func(m *Model) { m.secret = secret } }

// WithSeed seeds all random choices.
func WithSeed(seed uint64) Option { return func(m *Model) { m.seed = seed } }

// WithSeeds sets addresses of peers to speak to before the platform's table
// has named any.
func WithSeeds(addresses []string) Option { return func(m *Model) { m.seeds = addresses } }

// WithChooser sets how one upstream is chosen among those with room.
func WithChooser(c pool.Chooser) Option { return func(m *Model) { m.chooser = c } }

// WithPolicy sets how requests are admitted, ordered and retried.
func WithPolicy(p Policy) Option { return func(m *Model) { m.policy = p } }

// WithGrace sets how long a node that stops goes on taking new requests,
// until the balancer has noticed.
func WithGrace(grace clock.Millis) Option { return func(m *Model) { m.grace = grace } }

// WithStoreShare sets how many writes a second all nodes together may use for
// claims.
func WithStoreShare(claims float64) Option { return func(m *Model) { m.claimWrites = claims } }

// WithAnswers sets how many bytes of answers are kept for callers that ask
// again with the same key.
func WithAnswers(bytes int) Option { return func(m *Model) { m.answers.most = bytes } }
