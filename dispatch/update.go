package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

// Update handles one message and returns the resulting commands.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	m.now = now
	switch msg := msg.(type) {
	case CatalogMsg:
		return append(m.setCatalog(msg), m.processDeferred()...)
	case ConfigComparedMsg:
		return m.configCompared()
	case FleetMsg:
		return append(m.recordFleet(msg), m.processDeferred()...)
	case PeersMsg:
		m.setPeers(msg)
	case UsageMsg:
		return m.recordPeerUsage(msg)
	case PlacedMsg:
		return m.placementChanged(msg)
	case ArriveMsg:
		return m.arrive(msg)
	case AttemptFailedMsg:
		return m.attemptFailed(msg)
	case FirstEventMsg:
		return m.recordFirstEvent(msg)
	case AttemptDoneMsg:
		return m.attemptDone(msg)
	case StalledMsg:
		return m.stalled(msg)
	case ChainUnansweredMsg:
		return m.chainUnanswered(msg)
	case ReportMsg:
		return m.reported(msg)
	case MigratedMsg:
		return m.migrated(msg)
	case RecoverMsg:
		return m.recoverStreams()
	case FirstEventOverdueMsg:
		return m.firstEventOverdue(msg)
	case RequestEndedMsg:
		m.dropDeferred(msg.Request)
		return m.requestEnded(msg)
	case TickMsg:
		return m.tick()
	}
	return m.updateNodeState(msg)
}

// updateNodeState handles messages about the node itself.
func (m *Model) updateNodeState(msg Msg) []Cmd {
	switch msg := msg.(type) {
	case VMResumedMsg:
		return m.vmResumed()
	case DrainMsg:
		return m.drain(msg)
	case OverloadMsg:
		return m.setOverloaded(msg)
	case NodeEndMsg:
		return m.endRequests()
	}
	return m.updateUpstreamState(msg)
}

// updateUpstreamState handles messages about the state of upstreams that come from the upstreams,
// other nodes or the store.
func (m *Model) updateUpstreamState(msg Msg) []Cmd {
	switch msg := msg.(type) {
	case BackOffMsg:
		return m.backOffRequested(msg)
	case ProbedMsg:
		return m.probeDone(msg)
	case LateReportMsg:
		return m.lateReport(msg)
	case IdentifiedMsg:
		return m.identified(msg)
	case PeerLossMsg:
		return m.recordPeerLoss(msg)
	case PeerAnswerMsg:
		return m.quarantineCmds(m.quarantine.RequestAnswered(m.now, msg.Work, false))
	case PartShareMsg:
		return m.quarantineCmds(m.quarantine.RecordShare(m.now, msg.Part, msg.Share))
	case QuarantinedMsg:
		return append(m.mergeQuarantined(msg), m.processDeferred()...)
	case PeerResponsiveMsg:
		return m.peerFoundResponsive(msg)
	case PeerUnresponsiveMsg:
		return m.peerFoundUnresponsive(msg)
	}
	return m.updateLimits(msg)
}
