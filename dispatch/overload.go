package dispatch

// OverloadMsg reports whether this node has more to do than its processor bears. What it finds silent then
// may have answered: silence is no evidence about others, and probes of them only add to its work.
type OverloadMsg struct{ Overloaded bool }

func (OverloadMsg) dispatchMsg() {}

// setOverloaded handles the begin and the end of an overload. What this node has found silent just before
// its overload was noticed makes it doubt its links no longer: it would pass its requests on to other nodes,
// which is more work for both.
func (m *Model) setOverloaded(msg OverloadMsg) []Cmd {
	m.overloaded = msg.Overloaded
	if !m.overloaded {
		return nil
	}
	var cmds []Cmd
	for _, dataCentre := range m.reach.Unsettled() {
		cmds = append(cmds, m.reachChanged(m.reach.WithdrawSilence(m.now, dataCentre, m.listedIn[dataCentre]))...)
	}
	return cmds
}

// probeInconclusive handles a probe that an overloaded node found unanswered. What was known of the
// upstream stays, and it is probed again later.
func (m *Model) probeInconclusive(u *upstream) {
	u.avoidUntil = m.now.Add(maxProbePause)
}
