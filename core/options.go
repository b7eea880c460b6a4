package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/wire"
)

// TickInterval is the interval at which a TickMsg is due.
const TickInterval clock.Millis = 20

// Option configures a Model.
type Option func(*Model)

// WithNode sets the node's own record. Its incarnation must not have been used before.
func WithNode(n *wire.NodeRecord) Option { return func(m *Model) { m.node = n } }

// WithSecret sets the secret that authenticates tickets.
func WithSecret(secret []byte) Option { return func(m *Model) { m.secret = secret } }

// WithSeed sets the seed of the random source.
func WithSeed(seed uint64) Option { return func(m *Model) { m.seed = seed } }

// WithSeedPeers sets the addresses of peers that receive heartbeats while no other node is live in
// this node's view.
func WithSeedPeers(addresses []string) Option { return func(m *Model) { m.seedPeers = addresses } }

// WithChooser sets the strategy that chooses among upstreams with free capacity.
func WithChooser(c pool.Chooser) Option { return func(m *Model) { m.chooser = c } }

// WithPolicy sets how requests are admitted, ordered and retried.
func WithPolicy(p Policy) Option { return func(m *Model) { m.policy = p } }

// WithDrainGrace sets how long a draining node accepts new requests, until the load balancer has
// noticed the drain.
func WithDrainGrace(grace clock.Millis) Option { return func(m *Model) { m.drainGrace = grace } }

// WithClaimWrites sets how many writes per second all nodes together may use for claims.
func WithClaimWrites(claims float64) Option { return func(m *Model) { m.claimWrites = claims } }

// WithAnswerBytes sets how many bytes of answers are kept for client retries with the same key.
func WithAnswerBytes(bytes int) Option { return func(m *Model) { m.answers.maxBytes = bytes } }
