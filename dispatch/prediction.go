package dispatch

import (
	"math"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/forecast"
)

const (
	// localHop is the time to pass from a node or an engine to an engine of the same data centre,
	// and remoteHop that to another data centre, in ms. The overhead of a pass is 0.2 ms, the
	// network adds 0.2 ms and up to 1 ms (docs/PLATFORM.md).
	localHop  = 0.4
	remoteHop = 1.2
	// maxPrediction bounds predictions. No client waits that long for a first event.
	maxPrediction clock.Millis = 60_000
)

// prediction is the predicted time from sending a request to the first event of its answer.
type prediction struct {
	firstEvent clock.Millis
	// inputAge is the age of the oldest report that the prediction depends on; zero if it depends
	// only on the configuration and on this node's own requests.
	inputAge clock.Millis
}

// predict predicts the first event of a request over a chain of engines. A request that is already
// in progress does not wait for itself.
func (m *Model) predict(r *request, stages []chain.Stage) prediction {
	if r.service.Pipeline == nil || len(stages) == 0 {
		return prediction{}
	}
	inputs := make([]forecast.Stage, 0, len(stages))
	age, dataCentre := m.peerUsageAge(), m.dataCentre
	for _, s := range stages {
		u := m.upstreams[s.ID]
		if u == nil || u.pipeline == nil {
			continue
		}
		inputs = append(inputs, m.forecastStage(r, u, s.Layers, dataCentre))
		age, dataCentre = max(age, u.reportAge(m.now)), u.entry.DataCentre
	}
	ms := forecast.FirstEvent(r.service.Pipeline.Pass(), r.unreadTokens(), inputs)
	return prediction{firstEvent: clock.Millis(math.Ceil(min(ms, float64(maxPrediction)))), inputAge: age}
}

// forecastStage describes an engine that executes some layers of a request, which come to it from a
// data centre.
func (m *Model) forecastStage(r *request, u *upstream, layers fleet.LayerRange, from string) forecast.Stage {
	own, peers := r.reservationAt(u), m.estimatedPeerUse(u)
	stage := forecast.Stage{
		StepTime: u.layerTime * float64(layers.Len()), ReadTime: u.readTime * float64(layers.Len()), Slowdown: u.slowdown,
		WaitingTokens: max(0, u.promptTokens-own.promptTokens) + max(0, peers.PromptTokens),
		Batch:         batchShare * u.streams(u.memory-m.freeMemory(u)-own.amount), Hop: localHop,
		Streams: u.inFlight + peers.Streams, Slots: u.entry.Slots, StreamTime: m.meanStreamTime,
	}
	if u.entry.DataCentre != from {
		stage.Hop = remoteHop
	}
	if len(r.chain) > 0 && r.chain[0].ID == u.entry.ID {
		stage.Streams--
	}
	if u.hasRecentReport(m.now) && u.reportedQueued > 0 {
		stage.Streams = max(stage.Streams, u.entry.Slots+u.reportedQueued)
	}
	return stage
}

// unreadTokens returns the number of tokens that engines must read before the next event: the
// prompt and, if the answer is resumed, its part so far. A pass generates an event. A prompt of
// unknown length counts as a mean one.
func (r *request) unreadTokens() float64 {
	pass := r.service.Pipeline.Pass()
	prompt, answer := float64(r.arrival.PromptTokens), float64(max(r.streamedEvents, r.deliveredEvents))*pass.DecodeSteps
	if prompt == 0 {
		prompt = pass.PromptTokens
	}
	if r.arrival.AnswerTokens > 0 {
		answer = min(answer, float64(r.arrival.AnswerTokens))
	}
	return prompt + answer
}

// peerUsageAge returns the age of the oldest usage report that counts; zero if there is none.
func (m *Model) peerUsageAge() clock.Millis {
	if len(m.peerUsage) == 0 {
		return 0
	}
	return m.now.Sub(m.oldestPeerUsageAt)
}

// reportAge returns the age of the oldest report of an engine that a prediction depends on; zero if
// there is none. A slowdown up to normalSlowdown is not measured again, and its age does not count.
func (u *upstream) reportAge(now clock.Millis) clock.Millis {
	age := clock.Millis(0)
	if u.hasRecentReport(now) {
		age = now.Sub(u.reportedAt)
	}
	if u.slowdown > normalSlowdown {
		age = max(age, now.Sub(u.slowdownAt))
	}
	return age
}
