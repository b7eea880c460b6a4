package core

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/config"
	"github.com/hoistjunction/hoistjunction/wire"
)

// How long an operator waits for a proposal.
const (
	// commitTimeout is how long the store is asked before the operator is
	// told that the outcome is not known.
	commitTimeout clock.Millis = 5000
	// spreadTimeout is how long a committed change may take to be seen in
	// two data centres before the operator is told that it is spreading.
	spreadTimeout clock.Millis = 3000
	// acceptedDataCentres is in how many data centres a version must be in force
	// before it is called accepted.
	acceptedDataCentres = 2
)

// proposal is an operator's change on its way.
type proposal struct {
	call       uint64
	record     *wire.ChangeRecord
	receivedAt clock.Millis
	version    uint64
	validated  bool
	inFlight   bool
	retryAt    clock.Millis
}

// propose checks a change and sends it to the platform's table, which decides
// between racing operators. A change on top of a version that this node has
// not seen yet waits for it.
func (m *Model) propose(msg ProposeMsg) {
	p := &proposal{call: msg.Call, receivedAt: m.now}
	if known := m.tracker.RecordByChangeID(msg.ChangeID); known != nil {
		p.version = known.GetVersion()
		m.proposals = append(m.proposals, p)
		m.answerProposals()
		return
	}
	base := msg.Base
	if base == 0 {
		base = m.tracker.Version()
	}
	p.record = &wire.ChangeRecord{
		Version: base + 1, ChangeId: msg.ChangeID, Operator: msg.Operator, AtMs: msg.AtMillis, Changes: msg.Changes,
	}
	m.proposals = append(m.proposals, p)
	if base > m.tracker.Version() {
		m.fetchChanges("")
		return
	}
	m.validateProposal(p)
}

// validateProposal commits a proposal that makes a valid configuration.
func (m *Model) validateProposal(p *proposal) {
	if reply := m.rejectionReply(p.record); reply != nil {
		m.replyToProposal(p, reply)
		return
	}
	p.validated = true
	m.commitProposal(p)
}

// rejectionReply returns the answer to a proposal that cannot be committed as
// it stands, or nil. A base that is older than the version in force has lost.
func (m *Model) rejectionReply(record *wire.ChangeRecord) *wire.ProposeReply {
	if record.GetChangeId() == "" || len(record.GetChanges()) == 0 {
		return invalidReply("a proposal needs a change id and at least one change")
	}
	_, err := m.tracker.Preview(record)
	if errors.Is(err, config.ErrOutOfOrder) {
		return &wire.ProposeReply{
			State:   wire.ProposeState_PROPOSE_STATE_CONFLICT,
			Version: m.tracker.Version(),
			Detail:  "the version in force is another one; look at it and propose again",
			Winner:  m.tracker.RecordByVersion(record.GetVersion()),
		}
	}
	if err != nil {
		return invalidReply(err.Error())
	}
	return nil
}

func invalidReply(detail string) *wire.ProposeReply {
	return &wire.ProposeReply{State: wire.ProposeState_PROPOSE_STATE_INVALID, Detail: detail}
}

func (m *Model) commitProposal(p *proposal) {
	p.inFlight = true
	m.addCmd(&CommitCmd{Call: p.call, Record: p.record})
}

// commitDone takes in what came of a commit. After a lost answer the same
// record is sent again: the table knows its change id, and takes it once.
func (m *Model) commitDone(msg CommitMsg) {
	p := m.proposalByCall(msg.Call)
	if p == nil {
		return
	}
	p.inFlight = false
	switch msg.Result {
	case Committed:
		p.version = msg.Version
		if msg.Version == p.record.GetVersion() {
			m.changesReceived(ChangesMsg{Records: []*wire.ChangeRecord{p.record}})
		}
		if msg.Version > m.tracker.Version() {
			m.fetchChanges("")
		}
		m.answerProposals()
	case Conflicted:
		m.replyToProposal(p, &wire.ProposeReply{
			State:   wire.ProposeState_PROPOSE_STATE_CONFLICT,
			Version: msg.Head,
			Detail:  "another change was first; look at it and propose again",
			Winner: &wire.ChangeRecord{
				Version: p.record.GetVersion(), ChangeId: msg.WinnerID, Operator: msg.WinnerBy, AtMs: msg.WinnerAt,
			},
		})
		m.fetchChanges("")
	case CommitUnanswered:
		p.retryAt = m.now.Add(storeRetryInterval/4 + m.jitter(storeRetryInterval/4))
	}
}

func (m *Model) proposalByCall(call uint64) *proposal {
	for _, p := range m.proposals {
		if p.call == call {
			return p
		}
	}
	return nil
}

func (m *Model) replyToProposal(p *proposal, reply *wire.ProposeReply) {
	m.addCmd(&ProposedCmd{Call: p.call, Reply: reply})
	m.proposals = slices.DeleteFunc(m.proposals, func(other *proposal) bool { return other == p })
}

// answerProposals answers the operators whose changes are in force widely
// enough, or have waited long enough.
func (m *Model) answerProposals() {
	for _, p := range append([]*proposal(nil), m.proposals...) {
		m.answerProposal(p)
	}
}

func (m *Model) answerProposal(p *proposal) {
	if p.version == 0 {
		m.retryCommit(p)
		return
	}
	if m.tracker.Version() >= p.version && m.members.DataCentresWithVersion(p.version) >= acceptedDataCentres {
		m.replyToProposal(p, &wire.ProposeReply{State: wire.ProposeState_PROPOSE_STATE_ACCEPTED, Version: p.version})
		return
	}
	if m.now.Sub(p.receivedAt) > spreadTimeout {
		m.replyToProposal(p, &wire.ProposeReply{
			State:   wire.ProposeState_PROPOSE_STATE_SPREADING,
			Version: p.version,
			Detail:  "committed for good; not yet seen in force in two data centres",
		})
	}
}

func (m *Model) retryCommit(p *proposal) {
	if m.now.Sub(p.receivedAt) > commitTimeout {
		m.replyToProposal(p, &wire.ProposeReply{
			State:  wire.ProposeState_PROPOSE_STATE_UNKNOWN,
			Detail: "the store gave no answer; propose the same change id again to learn what came of it",
		})
		return
	}
	if p.inFlight || m.now < p.retryAt {
		return
	}
	if !p.validated {
		m.validateWhenBaseApplied(p)
		return
	}
	m.commitProposal(p)
}

// validateWhenBaseApplied checks a proposal once the version it builds on is in force
// here.
func (m *Model) validateWhenBaseApplied(p *proposal) {
	if p.record.GetVersion() > m.tracker.Version()+1 {
		return
	}
	m.validateProposal(p)
}
