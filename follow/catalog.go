package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/moment"
)

// slownessCounted is how many times the time that the store needs beside the wait
// is taken off the next wait of a node that others follow: once for that call and
// once for the one before, since a proof counts from its sending.
const slownessCounted = 2

// Catalog follows the configuration.
type Catalog struct {
	shared
	source CatalogSource
	// shown is the edition that the store has shown last; none where it has shown none, or
	// one that cannot be read.
	shown catalog.Edition
	// have is the edition in force.
	have catalog.Edition
	// asked is when the store was last asked.
	asked clock.Millis
	// tell takes a proof, and returns what is in force then.
	tell func(Proof) InForce
}

// NewCatalog returns a follower of the configuration.
func NewCatalog(source CatalogSource, c *clock.Clock, log *zap.Logger, outage *Outage,
	tell func(Proof) InForce, opts ...Option,
) *Catalog {
	return &Catalog{shared: newShared(c, log, outage, opts), source: source, tell: tell}
}

// catalogProgress is how far a follower of the configuration has come.
type catalogProgress struct {
	// asOf is up to when this node has read the store.
	asOf moment.Moment
	// read says that something has been read, and whole that the whole is to be
	// read next if the store is asked.
	read  bool
	whole bool
	// failures counts the store's failed calls in a row.
	failures int
	// wait is how long the store may hold the next wait, and slowness the time that it
	// took beside the wait when it was asked last.
	wait     clock.Millis
	slowness clock.Millis
	// proved is as of when the configuration is known to be the newest.
	proved clock.Millis
	// urged says that the last wait was left out for the nodes that follow.
	urged bool
	// doubt says how sure it is that whoever is asked next is there.
	doubt doubt
}

// Run follows until the context ends.
func (f *Catalog) Run(ctx context.Context) error {
	p := catalogProgress{whole: true}
	for ctx.Err() == nil {
		reader, waits := f.reader(p.read)
		if waits {
			clock.Sleep(ctx, look(p.read))
			continue
		}
		sent := f.clock.Now()
		p.wait, p.urged = f.wait(p)
		reading, err := f.call(ctx, reader, p)
		if err != nil {
			f.failed(ctx, &p, err)
			continue
		}
		f.back("config", reader)
		if reader == nil {
			f.outage.Proved(f.clock.Now())
			if !p.asOf.IsZero() && !reading.AsOf.SameEra(p.asOf) {
				f.returned("config", p.asOf, reading.AsOf)
			}
			p.asOf = reading.AsOf
		}
		f.take(reading, reader != nil, p.whole, sent)
		// What another node has told may be of another edition than the store shows, so
		// nothing that the store says of changes alone goes on from there.
		p = catalogProgress{
			asOf: p.asOf, read: true, whole: reader != nil, proved: sent.Sub(reading.AnsweredAge),
			slowness: p.slownessAfter(reader, reading, f.clock.Now().Sub(sent)), urged: p.urged,
		}
	}
	return ctx.Err()
}

// failed says how to go on after a call that failed.
func (f *Catalog) failed(ctx context.Context, p *catalogProgress, err error) {
	p.doubt = p.doubt.after(err, p.failures)
	switch {
	case p.doubt == silent:
		f.askAgain(ctx, "config", err)
	case errors.Is(err, ErrReadAnew):
		f.log.Info("config_history_gone", zap.Stringer("as_of", p.asOf), logging.Err(err))
		p.whole = true
	case errors.Is(err, errReaderFailed):
	default:
		p.whole = true
		if !f.lost(ctx, "config", f.asked, err) {
			return
		}
		if reader, _ := f.reader(p.read); reader != nil {
			return
		}
		p.failures++
		// The time in which the call hung is part of the pause.
		clock.Sleep(ctx, f.asked.Add(retryPause(p.failures)).Sub(f.clock.Now()).Duration())
	}
}

// call reads the whole, or awaits what changes after a moment, from another
// node if there is one to follow.
func (f *Catalog) call(ctx context.Context, reader Reader, p catalogProgress) (CatalogReading, error) {
	if reader != nil {
		reading, err := reader.AwaitCatalog(ctx, f.have, p.doubt.wait(readerConfigWait))
		if err != nil {
			return reading, f.readerFailed(ctx, "config", reader, p.doubt, err)
		}
		return reading, nil
	}
	if p.whole {
		return f.read(ctx, p.failures)
	}
	f.asked = f.clock.Now()
	if limit, ok := f.renewWithin(p); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit.Duration())
		defer cancel()
	}
	return f.source.AwaitCatalog(ctx, p.asOf, p.wait)
}

// catalogAnswer is what came of a call for the whole configuration.
type catalogAnswer struct {
	reading CatalogReading
	err     error
}

// read reads the whole from the store. While the store is away a call may hang that went
// out right before its return, so the store is asked again at the pace of retries, whether
// or not the last call has ended. It is then known to be back longestRetry after it is;
// with calls that were waited for one by one it took up to 1.5 s.
func (f *Catalog) read(ctx context.Context, failures int) (CatalogReading, error) {
	f.asked = f.clock.Now()
	if failures == 0 {
		return f.source.ReadCatalog(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan catalogAnswer, 2)
	ask := func() {
		reading, err := f.source.ReadCatalog(ctx)
		answers <- catalogAnswer{reading: reading, err: err}
	}
	go ask()
	again := time.NewTimer(max(retryPause(failures), leastHang).Duration())
	defer again.Stop()
	select {
	case answer := <-answers:
		return answer.reading, answer.err
	case <-again.C:
	}
	f.asked = f.clock.Now()
	go ask()
	answer := <-answers
	return answer.reading, answer.err
}

// renewWithin is how long a wait may take at a node that others follow, whatever the
// store may take at most. Where the connection has gone silent the store is asked once
// more while the last proof counts: otherwise all that follow, which lose their own
// connections with this node, find that it cannot vouch, and turn to the store.
func (f *Catalog) renewWithin(p catalogProgress) (clock.Millis, bool) {
	limit := p.proved.Add(VouchFor - renewal).Sub(f.clock.Now())
	return limit, p.doubt == sure && f.readers.Followed() && limit >= p.wait+renewal
}

// wait is how long the store may hold the next wait. Where it is slow it is asked for
// less, so that what this node tells others is no older. Where others wait for a proof
// it is asked for none, but not twice in a row: an answer that brings no proof, such as
// a configuration that cannot be read, would be asked for without end.
func (f *Catalog) wait(p catalogProgress) (wait clock.Millis, urged bool) {
	switch {
	case p.doubt == silent:
		return 0, p.urged
	case f.readers.Overdue() && !p.urged:
		return 0, true
	case f.readers.Followed():
		return max(followedConfigWait-slownessCounted*p.slowness, leastWait), false
	default:
		return f.limits.configWait, false
	}
}

// slownessAfter is the slowness that is known after a call. One that brought a change
// ended before its time and tells nothing, nor does one to another node.
func (p *catalogProgress) slownessAfter(reader Reader, reading CatalogReading, took clock.Millis) clock.Millis {
	if reader != nil || p.whole || len(reading.Raw) > 0 {
		return p.slowness
	}
	return max(took-p.wait, 0)
}

// take passes on what a call has shown that was sent at a time. Told says that another node has
// shown it, and whole that the store was read whole.
func (f *Catalog) take(reading CatalogReading, told, whole bool, sent clock.Millis) {
	proof := Proof{Edition: reading.Edition, Confirmed: sent.Sub(reading.Age)}
	if len(reading.Raw) > 0 {
		c, err := f.source.DecodeCatalog(reading.Raw, reading.Written)
		if err != nil {
			// It proves nothing fresh: the one in force is older than it.
			f.shown = catalog.Edition{}
			f.log.Error("config_unreadable", zap.Stringer("as_of", reading.AsOf), logging.Err(err))
			return
		}
		proof.Edition, proof.Catalog, proof.Raw = c.Edition(), c, reading.Raw
	}
	if !told {
		proof.Edition = f.show(proof.Edition, whole)
	}
	inForce := f.tell(proof)
	f.have = inForce.Edition
	f.followers.SetConfig(Known{InForce: inForce, Answered: sent.Sub(reading.AnsweredAge)})
}

// show notes the edition that the store shows, none where it shows no new one, and returns the
// one that stands there: what a reading of the whole does not show is not there.
func (f *Catalog) show(edition catalog.Edition, whole bool) catalog.Edition {
	if whole || !edition.IsZero() {
		f.shown = edition
	}
	return f.shown
}
