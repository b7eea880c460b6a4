package usage

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/work"
)

const (
	// maxOutcomeBytes bounds the outcomes in a datagram, so that it fits into a packet.
	maxOutcomeBytes = 1200
	// outcomeBytes and partBytes are the approximate sizes of an outcome and of a part of its prompt.
	outcomeBytes = 50
	partBytes    = 18
	// maxOutcomes bounds the outcomes that are sent in one batch. When an upstream crashes,
	// some ten requests on it have just started. Of more, each node learns through the crashes
	// under its own requests.
	maxOutcomes = 280
)

// errMissingWorkID is logged for a request outcome without a valid work ID.
var errMissingWorkID = errors.New("usage: request outcome has no work ID")

// Crash is the loss of a request at an upstream that crashed while executing it.
type Crash struct {
	Request  work.Request
	Upstream fleet.Incarnation
	// Age is the time since the attempt failed.
	Age clock.Millis
}

// PartShare is how many of the requests that a node has had answered lately have a part.
type PartShare struct {
	Part              work.ID
	Answers, Requests int
}

// Verdict is a request or a part that the sender has quarantined for crashes that are confirmed.
type Verdict struct {
	Work work.ID
	// Age is the time since then.
	Age clock.Millis
}

// outcomeKind is what an outcome reports.
type outcomeKind uint8

const (
	// lostOutcome means that upstream crashed while executing a request.
	lostOutcome outcomeKind = iota
	// answeredOutcome means that a request, or one with a part, was answered.
	answeredOutcome
	shareOutcome
	verdictOutcome
)

// outcome is what becomes of requests, by the ID of a request or a part. Equal ones are sent once.
type outcome struct {
	kind outcomeKind
	id   work.ID
	// at is when the request was lost or the verdict was reached.
	at clock.Millis
	// parts holds the IDs of the parts of a lost request's prompt, one after the other.
	parts    string
	upstream fleet.Incarnation
	// share is that of a part.
	share PartShare
}

func (o outcome) size() int { return outcomeBytes + len(o.parts)/work.IDBytes*partBytes }

// SendCrash reports to all peers, in the next batch, that an upstream crashed while executing a
// request of this node.
func (x *Exchange) SendCrash(c Crash) {
	now := x.clock.Now()
	var parts []byte
	for _, part := range c.Request.Parts {
		parts = append(parts, part.Bytes()...)
	}
	crash := outcome{kind: lostOutcome, id: c.Request.Content, at: now.Sub(c.Age), parts: string(parts), upstream: c.Upstream}
	x.recentCrashes.record(now, crash)
	x.outcomes.add(crash)
}

// SendAnswered reports to all peers, in the next batch, that an upstream answered a request
// suspected of crashing upstreams, or one with a suspected part.
func (x *Exchange) SendAnswered(id work.ID) { x.outcomes.add(outcome{kind: answeredOutcome, id: id}) }

// SendPartShare reports to all peers, in the next batch, the share of requests with a part.
func (x *Exchange) SendPartShare(s PartShare) { x.outcomes.add(outcome{kind: shareOutcome, share: s}) }

// SendVerdict reports to all peers, in the next batch, a request or a part that this node has
// quarantined.
func (x *Exchange) SendVerdict(v Verdict) {
	x.outcomes.add(outcome{kind: verdictOutcome, id: v.Work, at: x.clock.Now().Sub(v.Age)})
}

// sendOutcomes sends outcomes as often as placement orders are sent.
func (x *Exchange) sendOutcomes(outcomes []outcome) {
	if len(outcomes) > maxOutcomes {
		x.log.Warn("not_all_told", zap.Int("requests", len(outcomes)), zap.Int("told", maxOutcomes))
		outcomes = outcomes[:maxOutcomes]
	}
	var msgs []*wire.Usage
	for len(outcomes) > 0 {
		n := datagramLength(outcomes)
		msgs = append(msgs, x.outcomeMessage(outcomes[:n]))
		outcomes = outcomes[n:]
	}
	for range placementSends {
		for _, msg := range msgs {
			x.send(msg, x.recipients.Load().outcomes)
		}
		time.Sleep(placementInterval)
	}
}

// datagramLength returns how many of some outcomes fit into one datagram, at least one.
func datagramLength(outcomes []outcome) int {
	size := 0
	for i, o := range outcomes {
		if size += o.size(); i > 0 && size > maxOutcomeBytes {
			return i
		}
	}
	return len(outcomes)
}

func (x *Exchange) outcomeMessage(outcomes []outcome) *wire.Usage {
	msg := &wire.Usage{From: x.self}
	for _, o := range outcomes {
		switch o.kind {
		case shareOutcome:
			msg.PartShares = append(msg.PartShares, &wire.PartShare{Part: o.share.Part.Bytes(), Answers: uint32(o.share.Answers), Requests: uint32(o.share.Requests)})
		case verdictOutcome:
			msg.Quarantined = append(msg.Quarantined, &wire.QuarantinedWork{Work: o.id.Bytes(), AgeMs: int64(x.clock.Now().Sub(o.at))})
		case answeredOutcome:
			msg.Answered = append(msg.Answered, o.id.Bytes())
		case lostOutcome:
			msg.Lost = append(msg.Lost, x.encodeLoss(o))
		}
	}
	return msg
}

func (x *Exchange) encodeLoss(o outcome) *wire.LostWork {
	id, born := fleetwire.IncarnationFields(o.upstream)
	lost := &wire.LostWork{Work: o.id.Bytes(), Id: id, Born: born, AgeMs: int64(x.clock.Now().Sub(o.at))}
	for part := range slices.Chunk([]byte(o.parts), work.IDBytes) {
		lost.Parts = append(lost.Parts, part)
	}
	return lost
}

// receiveOutcomes handles the request outcomes in a message.
func (x *Exchange) receiveOutcomes(msg *wire.Usage) {
	for _, l := range msg.GetLost() {
		if crash, ok := decodeLoss(l); ok {
			x.listener.ReceiveCrash(crash)
			continue
		}
		x.log.Debug("usage_unreadable", logging.Err(errMissingWorkID))
	}
	for _, s := range msg.GetPartShares() {
		if part, ok := work.FromBytes(s.GetPart()); ok && part.IsPart() && s.GetAnswers() <= s.GetRequests() {
			x.listener.ReceivePartShare(PartShare{Part: part, Answers: int(s.GetAnswers()), Requests: int(s.GetRequests())})
			continue
		}
		x.log.Debug("usage_unreadable", logging.Err(errMissingWorkID))
	}
	for _, q := range msg.GetQuarantined() {
		if id, ok := work.FromBytes(q.GetWork()); ok {
			x.listener.ReceiveVerdict(Verdict{Work: id, Age: clock.Millis(max(q.GetAgeMs(), 0))})
			continue
		}
		x.log.Debug("usage_unreadable", logging.Err(errMissingWorkID))
	}
	for _, raw := range msg.GetAnswered() {
		if id, ok := work.FromBytes(raw); ok {
			x.listener.ReceiveAnswered(id)
			continue
		}
		x.log.Debug("usage_unreadable", logging.Err(errMissingWorkID))
	}
}

// decodeLoss reads a loss. Parts that cannot be read are left out, and so are more than work.MaxParts.
func decodeLoss(l *wire.LostWork) (Crash, bool) {
	content, ok := work.FromBytes(l.GetWork())
	if !ok {
		return Crash{}, false
	}
	crash := Crash{Request: work.Request{Content: content}, Upstream: fleetwire.IncarnationOf(l), Age: clock.Millis(max(l.GetAgeMs(), 0))}
	for _, raw := range l.GetParts()[:min(len(l.GetParts()), work.MaxParts)] {
		if part, ok := work.FromBytes(raw); ok && part.IsPart() && !crash.Request.Has(part) {
			crash.Request.Parts = append(crash.Request.Parts, part)
		}
	}
	return crash, true
}
