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

// latencyFactor is how many times the time that the store needs beside the wait
// is taken off the next wait of a node that others follow: once for that call and
// once for the one before, since a proof counts from its sending.
const latencyFactor = 2

// Catalog follows the configuration.
type Catalog struct {
	base
	source CatalogSource
	// storeEdition is the edition that the store has shown last; none where it has shown none, or
	// one that cannot be read.
	storeEdition catalog.Edition
	// activeEdition is the edition in force.
	activeEdition catalog.Edition
	// lastRequest is when the store was last asked.
	lastRequest clock.Millis
	// onProof takes a proof, and returns what is in force then.
	onProof func(Proof) ActiveConfig
}

// NewCatalog returns a follower of the configuration.
func NewCatalog(source CatalogSource, c *clock.Clock, log *zap.Logger, outage *Outage,
	tell func(Proof) ActiveConfig, opts ...Option,
) *Catalog {
	return &Catalog{base: newBase(c, log, outage, opts), source: source, onProof: tell}
}

// catalogProgress is how far a follower of the configuration has come.
type catalogProgress struct {
	// asOf is up to when this node has read the store.
	asOf moment.Moment
	// hasRead says that something has been read, and whole that the whole is to be
	// read next if the store is asked.
	hasRead   bool
	needsFull bool
	// failures counts the store's failed calls in a row.
	failures int
	// nextWait is how long the store may hold the next wait, and slowness the time that it
	// took beside the wait when it was asked last.
	nextWait     clock.Millis
	extraLatency clock.Millis
	// provenAt is as of when the configuration is known to be the newest.
	provenAt clock.Millis
	// skippedWait says that the last wait was left out for the nodes that follow.
	skippedWait bool
	// target says how sure it is that whoever is asked next is there.
	target targetState
}

// Run follows until the context ends.
func (f *Catalog) Run(ctx context.Context) error {
	p := catalogProgress{needsFull: true}
	for ctx.Err() == nil {
		reader, waits := f.selectReader(p.hasRead)
		if waits {
			clock.Sleep(ctx, pollInterval(p.hasRead))
			continue
		}
		sent := f.clock.Now()
		p.nextWait, p.skippedWait = f.nextWait(p)
		reading, err := f.request(ctx, reader, p)
		if err != nil {
			f.handleError(ctx, &p, err)
			continue
		}
		f.recordAnswer("config", reader)
		if reader == nil {
			f.outage.RecordProof(f.clock.Now())
			if !p.asOf.IsZero() && !reading.AsOf.SameEra(p.asOf) {
				f.checkRestore("config", p.asOf, reading.AsOf)
			}
			p.asOf = reading.AsOf
		}
		f.apply(reading, reader != nil, p.needsFull, sent)
		// What another node has told may be of another edition than the store shows, so
		// nothing that the store says of changes alone goes on from there.
		p = catalogProgress{
			asOf: p.asOf, hasRead: true, needsFull: reader != nil, provenAt: sent.Sub(reading.AnsweredAge),
			extraLatency: p.latencyAfter(reader, reading, f.clock.Now().Sub(sent)), skippedWait: p.skippedWait,
		}
	}
	return ctx.Err()
}

// handleError says how to go on after a call that failed.
func (f *Catalog) handleError(ctx context.Context, p *catalogProgress, err error) {
	p.target = p.target.next(err, p.failures)
	switch {
	case p.target == unresponsive:
		f.logRetry(ctx, "config", err)
	case errors.Is(err, ErrFullReadRequired):
		f.log.Info("config_history_gone", zap.Stringer("as_of", p.asOf), logging.Err(err))
		p.needsFull = true
	case errors.Is(err, errReaderFailed):
	default:
		p.needsFull = true
		if !f.recordFailure(ctx, "config", f.lastRequest, err) {
			return
		}
		if reader, _ := f.selectReader(p.hasRead); reader != nil {
			return
		}
		p.failures++
		// The time in which the call hung is part of the pause.
		clock.Sleep(ctx, f.lastRequest.Add(retryPause(p.failures)).Sub(f.clock.Now()).Duration())
	}
}

// request reads the whole, or awaits what changes after a moment, from another
// node if there is one to follow.
func (f *Catalog) request(ctx context.Context, reader Reader, p catalogProgress) (CatalogReading, error) {
	if reader != nil {
		reading, err := reader.AwaitCatalog(ctx, f.activeEdition, p.target.nextWait(readerConfigWait))
		if err != nil {
			return reading, f.readerFailed(ctx, "config", reader, p.target, err)
		}
		return reading, nil
	}
	if p.needsFull {
		return f.readFull(ctx, p.failures)
	}
	f.lastRequest = f.clock.Now()
	if limit, ok := f.renewalTimeout(p); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit.Duration())
		defer cancel()
	}
	return f.source.AwaitCatalog(ctx, p.asOf, p.nextWait)
}

// catalogResult is what came of a call for the whole configuration.
type catalogResult struct {
	reading CatalogReading
	err     error
}

// readFull reads the whole from the store. While the store is away a call may hang that went
// out right before its return, so the store is asked again at the pace of retries, whether
// or not the last call has ended. It is then known to be back maxRetryPause after it is;
// with calls that were waited for one by one it took up to 1.5 s.
func (f *Catalog) readFull(ctx context.Context, failures int) (CatalogReading, error) {
	f.lastRequest = f.clock.Now()
	if failures == 0 {
		return f.source.ReadCatalog(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan catalogResult, 2)
	ask := func() {
		reading, err := f.source.ReadCatalog(ctx)
		answers <- catalogResult{reading: reading, err: err}
	}
	go ask()
	again := time.NewTimer(max(retryPause(failures), minHang).Duration())
	defer again.Stop()
	select {
	case answer := <-answers:
		return answer.reading, answer.err
	case <-again.C:
	}
	f.lastRequest = f.clock.Now()
	go ask()
	answer := <-answers
	return answer.reading, answer.err
}

// renewalTimeout is how long a wait may take at a node that others follow, whatever the
// store may take at most. Where the connection has gone silent the store is asked once
// more while the last proof counts: otherwise all that follow, which lose their own
// connections with this node, find that it cannot vouch, and turn to the store.
func (f *Catalog) renewalTimeout(p catalogProgress) (clock.Millis, bool) {
	limit := p.provenAt.Add(ProofLifetime - renewalTime).Sub(f.clock.Now())
	return limit, p.target == trusted && f.readers.Followed() && limit >= p.nextWait+renewalTime
}

// nextWait is how long the store may hold the next wait. Where it is slow it is asked for
// less, so that what this node tells others is no older. Where others wait for a proof
// it is asked for none, but not twice in a row: an answer that brings no proof, such as
// a configuration that cannot be read, would be asked for without end.
func (f *Catalog) nextWait(p catalogProgress) (wait clock.Millis, urged bool) {
	switch {
	case p.target == unresponsive:
		return 0, p.skippedWait
	case f.readers.Overdue() && !p.skippedWait:
		return 0, true
	case f.readers.Followed():
		return max(followedConfigWait-latencyFactor*p.extraLatency, minWait), false
	default:
		return f.limits.configWait, false
	}
}

// latencyAfter is the slowness that is known after a call. One that brought a change
// ended before its time and tells nothing, nor does one to another node.
func (p *catalogProgress) latencyAfter(reader Reader, reading CatalogReading, took clock.Millis) clock.Millis {
	if reader != nil || p.needsFull || len(reading.Raw) > 0 {
		return p.extraLatency
	}
	return max(took-p.nextWait, 0)
}

// apply passes on what a call has shown that was sent at a time. Told says that another node has
// shown it, and whole that the store was read whole.
func (f *Catalog) apply(reading CatalogReading, told, whole bool, sent clock.Millis) {
	proof := Proof{Edition: reading.Edition, Confirmed: sent.Sub(reading.Age)}
	if len(reading.Raw) > 0 {
		c, err := f.source.DecodeCatalog(reading.Raw, reading.Written)
		if err != nil {
			// It proves nothing fresh: the one in force is older than it.
			f.storeEdition = catalog.Edition{}
			f.log.Error("config_unreadable", zap.Stringer("as_of", reading.AsOf), logging.Err(err))
			return
		}
		proof.Edition, proof.Catalog, proof.Raw = c.Edition(), c, reading.Raw
	}
	if !told {
		proof.Edition = f.updateStoreEdition(proof.Edition, whole)
	}
	inForce := f.onProof(proof)
	f.activeEdition = inForce.Edition
	f.publisher.SetConfig(PublishedConfig{ActiveConfig: inForce, AnsweredAt: sent.Sub(reading.AnsweredAge)})
}

// updateStoreEdition notes the edition that the store shows, none where it shows no new one, and returns the
// one that stands there: what a reading of the whole does not show is not there.
func (f *Catalog) updateStoreEdition(edition catalog.Edition, whole bool) catalog.Edition {
	if whole || !edition.IsZero() {
		f.storeEdition = edition
	}
	return f.storeEdition
}
