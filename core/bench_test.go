package core_test

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/wire"
)

// clusterSize is the size of what a node has to know.
type clusterSize struct {
	upstreams int
	accounts  int
	models    int
	peers     int
}

// fullSize is the size that the users expect within two years.
var fullSize = clusterSize{upstreams: 7100, accounts: 5700, models: 13, peers: 330}

// sizes are a tenth of the full size, and up to its double, for the slopes.
var sizes = []clusterSize{fullSize.scaled(0.1), fullSize.scaled(0.5), fullSize, fullSize.scaled(2)}

func (f clusterSize) scaled(k float64) clusterSize {
	return clusterSize{
		upstreams: int(float64(f.upstreams) * k), accounts: int(float64(f.accounts) * k),
		models: f.models, peers: int(float64(f.peers) * k),
	}
}

func (f clusterSize) String() string {
	return fmt.Sprintf("upstreams=%d/accounts=%d/peers=%d", f.upstreams, f.accounts, f.peers)
}

const benchStages = 3

// listing spreads the upstreams over all stages of all models.
func (f clusterSize) listing() []pool.Listing {
	var list []pool.Listing
	for i := range f.upstreams {
		stage, model := i%benchStages, i/benchStages%f.models
		list = append(list, pool.Listing{
			Name: fmt.Sprintf("upstream-%05d", i), Incarnation: "1", Group: fmt.Sprintf("m%d-%d", model, stage),
			Address: fmt.Sprintf("10.0.%d.%d:9", i/250, i%250), DataCentre: fmt.Sprintf("dc-%d", i%23), Kind: fmt.Sprintf("kind-%d", i%6),
		})
	}
	return list
}

func (f clusterSize) config() *wire.Config {
	record := &wire.ChangeRecord{}
	for m := range f.models {
		p := &wire.Pipeline{Name: fmt.Sprintf("p%02d", m), Layers: benchStages}
		for s := range benchStages {
			p.Stages = append(p.Stages, &wire.Stage{Pool: fmt.Sprintf("m%d-%d", m, s), FirstLayer: uint32(s), LastLayer: uint32(s)})
		}
		record.Changes = append(record.Changes,
			&wire.Change{Edit: &wire.Change_PutPipeline{PutPipeline: p}},
			&wire.Change{Edit: &wire.Change_PutRoute{PutRoute: &wire.Route{
				Name: fmt.Sprintf("r%02d", m), Pipeline: p.GetName(), FirstTokenMs: 1200, TokenMs: 27, MaxTokens: 1 << 20,
			}}})
	}
	c := &wire.Config{Version: 1}
	for a := range f.accounts {
		c.Accounts = append(c.Accounts, benchAccount(a, 1))
	}
	for _, change := range record.GetChanges() {
		if r := change.GetPutRoute(); r != nil {
			c.Routes = append(c.Routes, r)
		}
		if p := change.GetPutPipeline(); p != nil {
			c.Pipelines = append(c.Pipelines, p)
		}
	}
	return c
}

func accountName(i int) string { return fmt.Sprintf("account-%05d", i) }

func benchAccount(i int, weight uint32) *wire.ClientAccount {
	hash := core.HashKey(accountName(i))
	return &wire.ClientAccount{Name: accountName(i), KeyHash: hash[:], Weight: weight, Priority: 4}
}

func (f clusterSize) model() *core.Model {
	m := core.New(core.WithSeed(1), core.WithSecret([]byte("s")))
	m.Update(0, core.ChangesMsg{Snapshot: f.config()})
	m.Update(0, core.ListMsg{Upstreams: f.listing()})
	var nodes []*wire.NodeRecord
	for i := range f.peers {
		nodes = append(nodes, benchNode(i, 1))
	}
	m.Update(0, core.NodesMsg{Nodes: nodes})
	return m
}

func benchNode(i int, beat uint64) *wire.NodeRecord {
	return &wire.NodeRecord{
		Name: fmt.Sprintf("entry-%03d", i), Incarnation: uint64(i) + 1000, DataCentre: fmt.Sprintf("dc-%d", i%23),
		Address: fmt.Sprintf("10.1.%d.%d:9", i/250, i%250), Version: 1, Beat: beat, StartedMs: 1,
	}
}

func submit(caller uint64, account int) core.SubmitMsg {
	return core.SubmitMsg{
		Caller: caller, KeyHash: core.HashKey(accountName(account)), Route: fmt.Sprintf("r%02d", caller%13),
		Prompt: "Expediente 2231/26: audiencia el lunes", MaxTokens: 1 << 20,
	}
}

func eachSize(b *testing.B, f func(b *testing.B, size clusterSize)) {
	for _, size := range sizes {
		b.Run(size.String(), func(b *testing.B) { f(b, size) })
	}
}

// BenchmarkStep runs one request's steps around its stages: an operation is
// one step's answer taken in and the next step sent.
func BenchmarkStep(b *testing.B) {
	eachSize(b, func(b *testing.B, size clusterSize) {
		m := size.model()
		step := stepOf(m.Update(1, submit(1, 0)))
		now := clock.Millis(1)
		done := &core.StepDoneMsg{Request: 1, Generation: 1, Positions: 1, Outputs: []uint64{1}, Token: 1, Text: "x"}
		b.ReportAllocs()
		for b.Loop() {
			done.Upstream, done.Position = step.Upstream, step.Position
			if step = stepOf(m.Update(now, done)); step == nil {
				done.Request++
				step = stepOf(m.Update(now, submit(done.Request, 0)))
			}
		}
	})
}

func stepOf(cmds []core.Cmd) *core.StepCmd {
	for _, cmd := range cmds {
		if s, ok := cmd.(*core.StepCmd); ok {
			return s
		}
	}
	return nil
}

// BenchmarkAdmission takes in a request, dispatches it, and cancels it.
func BenchmarkAdmission(b *testing.B) {
	eachSize(b, func(b *testing.B, size clusterSize) {
		m := size.model()
		msgs := make([]core.SubmitMsg, 1024)
		for i := range msgs {
			msgs[i] = submit(uint64(i)+1, i%size.accounts)
		}
		i := 0
		b.ReportAllocs()
		for b.Loop() {
			msg := msgs[i%len(msgs)]
			m.Update(1, msg)
			m.Update(1, core.CancelMsg{Caller: msg.Caller})
			i++
		}
	})
}

// BenchmarkVersion takes in one change of a client account.
func BenchmarkVersion(b *testing.B) {
	eachSize(b, func(b *testing.B, size clusterSize) {
		m := size.model()
		version := uint64(1)
		for b.Loop() {
			version++
			m.Update(1, core.ChangesMsg{Records: []*wire.ChangeRecord{{
				Version: version, Changes: []*wire.Change{{Edit: &wire.Change_PutAccount{PutAccount: benchAccount(int(version)%size.accounts, 2)}}},
			}}})
		}
		if got := m.Config().GetVersion(); got != version {
			b.Fatalf("got version %d, want %d", got, version)
		}
	})
}

// BenchmarkHeartbeat takes in a peer's heartbeat with its digest.
func BenchmarkHeartbeat(b *testing.B) {
	eachSize(b, func(b *testing.B, size clusterSize) {
		m := size.model()
		beat := uint64(1)
		b.ReportAllocs()
		for b.Loop() {
			beat++
			msg := core.HeartbeatMsg{From: benchNode(int(beat)%size.peers, beat)}
			for i := range 8 {
				msg.Heard = append(msg.Heard, benchNode((int(beat)+i*7)%size.peers, beat))
			}
			m.Update(1, msg)
		}
	})
}

// BenchmarkTick runs the timers with a hundred requests in progress.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, size clusterSize) {
		m := size.model()
		for i := range 100 {
			m.Update(1, submit(uint64(i)+1, i))
		}
		b.ReportAllocs()
		for b.Loop() {
			m.Update(1, core.TickMsg{})
		}
	})
}

// BenchmarkList takes in the platform's whole list.
func BenchmarkList(b *testing.B) {
	eachSize(b, func(b *testing.B, size clusterSize) {
		m := size.model()
		list := size.listing()
		for b.Loop() {
			m.Update(1, core.ListMsg{Upstreams: list})
		}
	})
}

// BenchmarkState reports the bytes that a model takes, and those of a
// heartbeat and a change record on the wire.
func BenchmarkState(b *testing.B) {
	eachSize(b, func(b *testing.B, size clusterSize) {
		var before, after runtime.MemStats
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := size.model()
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(m)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state-B")
		beat := &wire.HeartbeatRequest{From: benchNode(0, 1)}
		for i := range 8 {
			beat.Heard = append(beat.Heard, benchNode(i, 1))
		}
		b.ReportMetric(float64(proto.Size(beat)), "heartbeat-B")
		record := &wire.ChangeRecord{Version: 1, ChangeId: "0123456789abcdef", Operator: "ana", Changes: []*wire.Change{
			{Edit: &wire.Change_PutAccount{PutAccount: benchAccount(0, 1)}},
		}}
		b.ReportMetric(float64(proto.Size(record)), "record-B")
	})
}
