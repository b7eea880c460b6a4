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

// latencyFactor is how many times the store's extra latency is subtracted from the next wait of
// a node that others follow: once for the next call and once for the previous one, because a
// proof counts from the sending of its call.
const latencyFactor = 2

// Catalog follows the configuration.
type Catalog struct {
	base
	source CatalogSource
	// storeEdition is the edition last read from the store; zero if there is none or if it
	// cannot be decoded.
	storeEdition catalog.Edition
	// activeEdition is the active edition.
	activeEdition catalog.Edition
	// lastRequest is when the last call to the store was sent.
	lastRequest clock.Millis
	// onProof handles a proof and returns the configuration that is active afterwards.
	onProof func(Proof) ActiveConfig
}

// NewCatalog returns a follower of the configuration. It passes each proof to onProof, which
// returns the active configuration.
func NewCatalog(source CatalogSource, c *clock.Clock, log *zap.Logger, outage *Outage,
	onProof func(Proof) ActiveConfig, opts ...Option,
) *Catalog {
	return &Catalog{base: newBase(c, log, outage, opts), source: source, onProof: onProof}
}

// catalogProgress is the state of a follower of the configuration between two calls.
type catalogProgress struct {
	// asOf is the moment up to which this node has read the store.
	asOf moment.Moment
	// hasRead reports whether anything has been read. needsFull reports whether the next call
	// to the store must read the full configuration.
	hasRead   bool
	needsFull bool
	// failures is the number of consecutive failed calls to the store.
	failures int
	// nextWait is how long the store may hold the next call. extraLatency is how much longer than
	// its wait the last awaited call took.
	nextWait     clock.Millis
	extraLatency clock.Millis
	// provenAt is when the configuration was last proven to be the newest.
	provenAt clock.Millis
	// skippedWait reports whether the last call had no wait, because followers needed a proof.
	skippedWait bool
	// target is the assumed state of the store or the reader that gets the next call.
	target targetState
}

// Run follows the configuration until the context ends.
func (f *Catalog) Run(ctx context.Context) error {
	p := catalogProgress{needsFull: true}
	for ctx.Err() == nil {
		reader, pending := f.selectReader(p.hasRead)
		if pending {
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
		// The reader's edition may differ from the store's, so after a call to the reader the
		// next call to the store must read the full configuration.
		p = catalogProgress{
			asOf: p.asOf, hasRead: true, needsFull: reader != nil, provenAt: sent.Sub(reading.AnsweredAge),
			extraLatency: p.latencyAfter(reader, reading, f.clock.Now().Sub(sent)), skippedWait: p.skippedWait,
		}
	}
	return ctx.Err()
}

// handleError updates the progress after a failed call and pauses before a retry.
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
		// Subtracts the duration of the call from the pause.
		clock.Sleep(ctx, f.lastRequest.Add(retryPause(p.failures)).Sub(f.clock.Now()).Duration())
	}
}

// request awaits changes at the reader, if there is one. Otherwise it reads the full
// configuration from the store or awaits its changes.
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
	if timeout, ok := f.renewalTimeout(p); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout.Duration())
		defer cancel()
	}
	return f.source.AwaitCatalog(ctx, p.asOf, p.nextWait)
}

// catalogResult is the result of a call for the full configuration.
type catalogResult struct {
	reading CatalogReading
	err     error
}

// readFull reads the full configuration from the store. During an outage, a call sent just
// before the store recovers can hang. Therefore it sends a second call after the retry pause
// even if the first is still open, and returns whichever answer comes first. A recovery is then
// noticed within maxRetryPause; with one call at a time it took up to 1.5 s.
func (f *Catalog) readFull(ctx context.Context, failures int) (CatalogReading, error) {
	f.lastRequest = f.clock.Now()
	if failures == 0 {
		return f.source.ReadCatalog(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan catalogResult, 2)
	send := func() {
		reading, err := f.source.ReadCatalog(ctx)
		results <- catalogResult{reading: reading, err: err}
	}
	go f.guard("catalog_read", send)
	retry := time.NewTimer(max(retryPause(failures), minHang).Duration())
	defer retry.Stop()
	select {
	case result := <-results:
		return result.reading, result.err
	case <-retry.C:
	}
	f.lastRequest = f.clock.Now()
	go f.guard("catalog_read", send)
	result := <-results
	return result.reading, result.err
}

// renewalTimeout returns the timeout of a wait at the store, and whether there is one: only for
// a node with followers. It ends a wait on an unresponsive connection while the last proof is
// valid and there is time for another call. Otherwise all followers, whose connections often
// fail together with this node's, would find its proof too old and call the store themselves.
func (f *Catalog) renewalTimeout(p catalogProgress) (clock.Millis, bool) {
	timeout := p.provenAt.Add(ProofLifetime - renewalTime).Sub(f.clock.Now())
	return timeout, p.target == trusted && f.readers.HasFollowers() && timeout >= p.nextWait+renewalTime
}

// nextWait returns how long the store may hold the next call. For a node with followers it is
// shorter if the store is slow, so that the node's proof does not get older. If followers need
// a proof, there is no wait (skipped is true), but not twice in a row: an answer without a
// proof, for example a configuration that cannot be decoded, would otherwise cause calls in a
// tight loop.
func (f *Catalog) nextWait(p catalogProgress) (wait clock.Millis, skipped bool) {
	switch {
	case p.target == unresponsive:
		return 0, p.skippedWait
	case f.readers.NeedsProof() && !p.skippedWait:
		return 0, true
	case f.readers.HasFollowers():
		return max(followedConfigWait-latencyFactor*p.extraLatency, minWait), false
	default:
		return f.limits.configWait, false
	}
}

// latencyAfter returns the extra latency of the store after a call. It does not change after a
// call to a reader, a full read, or a call that returned a change before its wait was over.
func (p *catalogProgress) latencyAfter(reader Reader, reading CatalogReading, duration clock.Millis) clock.Millis {
	if reader != nil || p.needsFull || len(reading.Raw) > 0 {
		return p.extraLatency
	}
	return max(duration-p.nextWait, 0)
}

// apply applies the reading of a call that was sent at a time. fromReader reports whether it
// comes from another node, and full whether it is a full reading of the store.
func (f *Catalog) apply(reading CatalogReading, fromReader, full bool, sent clock.Millis) {
	proof := Proof{Edition: reading.Edition, Confirmed: sent.Sub(reading.Age)}
	if len(reading.Raw) > 0 {
		c, err := f.source.DecodeCatalog(reading.Raw, reading.Written)
		if err != nil {
			// This reading proves nothing about the active edition, which is older.
			f.storeEdition = catalog.Edition{}
			f.log.Error("config_unreadable", zap.Stringer("as_of", reading.AsOf), logging.Err(err))
			return
		}
		proof.Edition, proof.Catalog, proof.Raw = c.Edition(), c, reading.Raw
	}
	if !fromReader {
		proof.Edition = f.updateStoreEdition(proof.Edition, full)
	}
	active := f.onProof(proof)
	f.activeEdition = active.Edition
	f.publisher.SetConfig(PublishedConfig{ActiveConfig: active, AnsweredAt: sent.Sub(reading.AnsweredAge)})
}

// updateStoreEdition records the edition of a reading of the store and returns the edition that
// the store has. A zero edition means no change, but in a full reading it means that the store
// has no configuration.
func (f *Catalog) updateStoreEdition(edition catalog.Edition, full bool) catalog.Edition {
	if full || !edition.IsZero() {
		f.storeEdition = edition
	}
	return f.storeEdition
}
