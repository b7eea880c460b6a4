package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/wire"
)

// TickInterval is how often a TickMsg is due.
const TickInterval clock.Millis = 20

// Option sets up a Model.
type Option func(*Model)

// WithNode sets the node's own record. Its incarnation must be new.
func WithNode(n *wire.NodeRecord) Option { return func(m *Model) { m.node = n } }

// WithSecret sets what the tags of tickets are made with.
func WithSecret(secret []byte) Option { return func(m *Model) { m.secret = secret } }

// WithSeed seeds all random choices.
func WithSeed(seed uint64) Option { return func(m *Model) { m.seed = seed } }

// WithSeedPeers sets addresses of peers to speak to before the platform's table
// has named any.
func WithSeedPeers(addresses []string) Option { return func(m *Model) { m.seedPeers = addresses } }

// WithChooser sets how one upstream is chosen among those with room.
func WithChooser(c pool.Chooser) Option { return func(m *Model) { m.chooser = c } }

// WithPolicy sets how requests are admitted, ordered and retried.
func WithPolicy(p Policy) Option { return func(m *Model) { m.policy = p } }

// WithDrainGrace sets how long a node that stops goes on taking new requests,
// until the balancer has noticed.
func WithDrainGrace(grace clock.Millis) Option { return func(m *Model) { m.drainGrace = grace } }

// WithClaimWrites sets how many writes a second all nodes together may use for
// claims.
func WithClaimWrites(claims float64) Option { return func(m *Model) { m.claimWrites = claims } }

// WithAnswerBytes sets how many bytes of answers are kept for callers that ask
// again with the same key.
func WithAnswerBytes(bytes int) Option { return func(m *Model) { m.answers.maxBytes = bytes } }
