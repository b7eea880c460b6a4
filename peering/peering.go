package peering

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/momentwire"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
	"go.uber.org/zap"
)

const (
	// lookEvery is how often a node looks whether it needs its peers.
	lookEvery = 150 * time.Millisecond
	// askAfter is how old the proof of freshness may get before peers are
	// asked. With the store well it stays under 3.6 s, twice a wait there.
	askAfter clock.Millis = 3700
	// askUnborn is how long after its start a node without a configuration
	// leaves its peers alone; the store answers within some 10 ms. It counts from when
	// the node may read at all.
	askUnborn clock.Millis = 1000
	// longestLook bounds the pause between two rounds of questions that brought
	// nothing newer: the store is then away for everybody, and all nodes ask.
	longestLook clock.Millis = 1200
	// askSome is how many peers are asked at a time.
	askSome = 3
	// askTimeout bounds a question. Between data centres an answer takes a few
	// ms; a frozen peer gives none.
	askTimeout = 500 * time.Millisecond
	// fleetAfter is how old the proof of freshness may get before peers are
	// asked for the list of upstreams too: by then the store is lost.
	fleetAfter clock.Millis = 4200
	// fleetEvery is how often they are asked for it while they vouch for the
	// configuration, which keeps the proof younger than that. What leaves must be
	// known within 2 s.
	fleetEvery clock.Millis = 1200
	// membersEvery is how often the registry is read again. Between that, nodes
	// learn of new ones of their data centre from what those tell.
	membersEvery = 60 * time.Second
	// membersPause is how long others that become known are gathered: where all nodes start
	// together each hears of hundreds within a second, one by one.
	membersPause = 150 * time.Millisecond
	// renewReads is after how many readings a node renews its own registration.
	renewReads = 2
	// registerAgain is the pause after a registration that failed, and
	// membersSoon the time after which nodes that start together have all
	// registered.
	registerAgain = time.Second
	membersSoon   = 2500 * time.Millisecond
	// registerSpread is the time over which the nodes of a system that starts for
	// the first time register: the store takes 200 writes a second to one table,
	// and refuses what would wait for over a second.
	registerSpread clock.Millis = 1500
)

// Peering asks and answers peers.
type Peering struct {
	clock     *clock.Clock
	log       *zap.Logger
	registry  Registry
	knowledge Knowledge
	learner   Learner
	directory *directory
	random    *rand.Rand
	http      *http.Client
	// firstStart tells that the whole system starts for the first time, and
	// registerAfter is this node's part of registerSpread.
	firstStart    bool
	registerAfter clock.Millis
	// unborn is how long after its start the node leaves its peers alone if it knows nothing.
	unborn clock.Millis
	// news has this node told which others there are.
	news coalesced
	// registeredAt is when the node was registered last, a clock.Millis, and returned tells
	// that the store has come back from a copy.
	registeredAt atomic.Int64
	returned     chan struct{}
	// counted tells that the registry was read, and how many nodes there are was told. One
	// that is alone has to know that too. Only the loop of Register uses it.
	counted bool
	// compared tells that peers were asked for the configuration since the start.
	compared bool
	// Of the rounds of questions; only the loop of Run uses them.
	nextLook clock.Millis
	pause    clock.Millis
	best     clock.Millis
	// listAsked is when peers were last asked for the list of upstreams.
	listAsked clock.Millis
}

// Option sets up a Peering.
type Option func(*Peering)

// WithFirstStart sets whether the whole system starts for the first time, so that
// nobody can be registered yet.
func WithFirstStart(first bool) Option { return func(p *Peering) { p.firstStart = first } }

// New returns a node's peering. Seeds are addresses where peers may be.
func New(self *wire.Member, seeds []string, registry Registry, knowledge Knowledge, learner Learner,
	c *clock.Clock, log *zap.Logger, transport http.RoundTripper, seed uint64, opts ...Option,
) *Peering {
	p := &Peering{
		clock: c, log: log, registry: registry, knowledge: knowledge, learner: learner,
		directory: newDirectory(self, seeds), random: rand.New(rand.NewPCG(seed, seed)), best: clock.Never,
		http:          &http.Client{Transport: transport, Timeout: askTimeout},
		registerAfter: clock.Millis(seed % uint64(registerSpread)),
	}
	p.registeredAt.Store(int64(clock.Never))
	p.returned = make(chan struct{}, 1)
	p.news = coalesced{call: p.learnMembers, pause: membersPause}
	p.unborn = askUnborn
	for _, opt := range opts {
		opt(p)
	}
	if p.firstStart {
		p.unborn += StartWait(self.GetStrength())
	}
	return p
}

// Register leaves the node's address at the registry, if it is needed there, and reads those
// of others from time to time.
func (p *Peering) Register(ctx context.Context) error {
	registered := p.join(ctx)
	for reads := 1; ctx.Err() == nil; reads++ {
		clock.Sleep(ctx, membersEvery)
		standing, err := p.readRegistry(ctx)
		if err != nil {
			p.log.Info("members_not_read", logging.Err(err))
		}
		due := reads%renewReads == 0
		if err == nil && !standing.registered && !standing.enough || registered && due {
			registered = true
			if err := p.register(ctx); err != nil {
				p.log.Info("not_renewed", logging.Err(err))
			}
		}
	}
	return ctx.Err()
}

// join registers the node unless it is registered since an earlier life, and then so are the
// others, or there is no need. It tells whether it is registered.
func (p *Peering) join(ctx context.Context) (registered bool) {
	turn, weak := startTurn(p.directory.self.GetStrength())
	switch {
	case p.firstStart && !weak:
		clock.Sleep(ctx, (p.registerAfter % strongSpread(p.directory.self.GetStrength())).Duration())
		p.registerAnew(ctx)
		return true
	case p.firstStart:
		clock.Sleep(ctx, (turn + p.registerAfter%weakSpread).Duration())
	}
	standing, err := p.readRegistry(ctx)
	if err != nil {
		p.log.Info("members_not_read", logging.Err(err))
	}
	switch {
	case standing.registered:
		return true
	case standing.enough:
		return false
	}
	p.registerAnew(ctx)
	return true
}

// registerAnew registers the node and, when those that start with it have
// registered too, reads the registry.
func (p *Peering) registerAnew(ctx context.Context) {
	p.until(ctx, "not_registered", func() error { return p.register(ctx) })
	clock.Sleep(ctx, membersSoon)
	p.until(ctx, "members_not_read", func() error {
		_, err := p.readRegistry(ctx)
		return err
	})
}

// until tries a call until it succeeds or the context ends.
func (p *Peering) until(ctx context.Context, event string, call func() error) {
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			return
		}
		p.log.Info(event, logging.Err(err))
		clock.Sleep(ctx, registerAgain)
	}
}

// readRegistry reads all registrations, and removes those of nodes that have not
// renewed theirs for long. Several nodes may do so at once; each removes only
// what has not changed since. It tells how this node stands in it.
func (p *Peering) readRegistry(ctx context.Context) (standing, error) {
	list, unreadable, err := p.registry.Registrations(ctx)
	if err != nil {
		return standing{}, err
	}
	for _, err := range unreadable {
		p.log.Warn("member_unreadable", logging.Err(err))
	}
	stands := standingIn(list, p.directory.self)
	news, expired := p.directory.registered(p.clock.Now(), list)
	if news || !p.counted {
		p.counted = true
		p.news.ask()
	}
	if len(expired) == 0 {
		return stands, nil
	}
	err = p.registry.Remove(ctx, expired)
	p.log.Info("members_expired", zap.Int("count", len(expired)), zap.String("first", expired[0].Member.GetName()), logging.Err(err))
	return stands, nil
}

// Others returns how many other nodes are known by name.
func (p *Peering) Others() int {
	named := 0
	for _, m := range p.directory.others() {
		if m.GetName() != "" {
			named++
		}
	}
	return named
}

// Heard notes a node that has told something.
func (p *Peering) Heard(m *wire.Member) {
	if p.directory.heard(p.clock.Now(), m) {
		p.news.ask()
	}
}

// Told notes nodes of which another one has told.
func (p *Peering) Told(members []*wire.Member) { p.noteMembers(members...) }

func (p *Peering) noteMembers(members ...*wire.Member) {
	if p.directory.add(members...) {
		p.news.ask()
	}
}

// learnMembers tells this node which others there are.
func (p *Peering) learnMembers() {
	others, rank := p.directory.others(), p.directory.rank()
	p.log.Info("members", zap.Int("others", len(others)), zap.Int("rank", rank))
	p.learner.LearnMembers(others, rank)
}

// Run asks peers while the store does not tell how fresh the configuration is.
func (p *Peering) Run(ctx context.Context) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			p.look(ctx)
		}
	}
}

func (p *Peering) look(ctx context.Context) {
	inForce := p.knowledge.Config()
	now := p.clock.Now()
	age := now.Sub(inForce.Confirmed)
	needs := p.needs(now, inForce.Edition, age)
	if now < p.nextLook || !needs && !p.isNew(inForce.Edition) {
		return
	}
	peers := p.directory.others()
	if !needs && len(peers) == 0 {
		return
	}
	p.compared = p.compared || !inForce.Edition.IsZero() && len(peers) > 0
	p.backOff(now, inForce.Confirmed)
	wantFleet := needs && p.wantsFleet(now, age)
	p.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(askSome, len(peers))] {
		go p.ask(ctx, peer, inForce.Edition, wantFleet)
	}
}

// wantsFleet tells whether peers are to be asked for the list of upstreams too. A
// list may have been a part of the whole, and gets old.
func (p *Peering) wantsFleet(now, age clock.Millis) bool {
	if p.knowledge.Listed() && age < fleetAfter && now < p.listAsked.Add(fleetEvery) {
		return false
	}
	p.listAsked = now
	return true
}

// needs tells whether the node needs its peers. A peer may know the
// configuration before it knows the list, so each may be lacking by itself.
func (p *Peering) needs(now clock.Millis, have catalog.Edition, age clock.Millis) bool {
	if have.IsZero() || !p.knowledge.Listed() {
		return now >= p.unborn
	}
	return age >= askAfter
}

// isNew tells whether the node has started, knows a configuration, and has not compared it with
// a peer's yet: what it has read may be of a copy that the store has just come back from, and
// they remember. Where the whole system starts for the first time nobody does.
func (p *Peering) isNew(have catalog.Edition) bool {
	return !p.compared && !p.firstStart && !have.IsZero()
}

// backOff lengthens the pause while questions bring nothing newer.
func (p *Peering) backOff(now, confirmed clock.Millis) {
	p.pause = min(max(2*p.pause, clock.FromDuration(lookEvery)), longestLook)
	if confirmed > p.best {
		p.best, p.pause = confirmed, clock.FromDuration(lookEvery)
	}
	p.nextLook = now.Add(p.pause)
}

// AskAt asks the peer at an address, which knows a newer configuration.
func (p *Peering) AskAt(ctx context.Context, address string) {
	p.ask(ctx, &wire.Member{Address: address}, p.knowledge.Config().Edition, false)
}

// ask asks one peer and takes in what it tells.
func (p *Peering) ask(ctx context.Context, peer *wire.Member, have catalog.Edition, wantFleet bool) {
	client := wireconnect.NewFreshnessClient(p.http, "http://"+peer.GetAddress())
	sent := p.clock.Now()
	resp, err := client.Ask(ctx, connect.NewRequest(&wire.AskRequest{
		Asker: p.directory.self, Have: momentwire.Edition(have), WantFleet: wantFleet,
	}))
	if err != nil {
		p.log.Debug("peer_silent", zap.String("peer", peer.GetName()), zap.String("address", peer.GetAddress()), logging.Err(err))
		return
	}
	p.noteMembers(resp.Msg.GetMembers()...)
	p.take(sent, peer, resp.Msg)
}

func (p *Peering) take(sent clock.Millis, peer *wire.Member, answer *wire.AskResponse) {
	edition, inForce := momentwire.EditionOf(answer.GetEdition()), p.knowledge.Config()
	if edition.IsZero() || answer.GetAgeMs() < 0 || inForce.Edition.Supersedes(edition) {
		return
	}
	confirmed := confirmedBy(sent, answer)
	if confirmed <= inForce.Confirmed && len(answer.GetConfig()) == 0 && !answer.GetHasFleet() {
		return
	}
	p.log.Info("freshness_from_peer", zap.String("peer", peer.GetName()), zap.Uint64("version", answer.GetEdition().GetVersion()),
		zap.Int64("age_ms", int64(p.clock.Now().Sub(confirmed))), zap.Bool("newer", len(answer.GetConfig()) > 0),
		zap.Int("upstreams", len(answer.GetFleet())))
	p.learner.LearnConfig(edition, answer.GetConfig(), confirmed)
	if answer.GetHasFleet() {
		p.learner.LearnFleet(upstreamsOf(answer.GetFleet()))
	}
}
