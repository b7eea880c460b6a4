package node_test

import (
	"encoding/hex"
	"fmt"
	"math"
	"net"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/work"
)

// Guards against a datagram whose values are out of range that ends the process, or makes the node refuse
// what its upstreams could serve.
func TestDatagramsOutOfRangeHarmNothing(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4)
	n := s.startNode("n1", s.storeAddress)
	n.awaitServing(t)
	// By the end of these requests the list shows the layers of all engines.
	n.checkServes(t, "b")
	conn, err := net.Dial("udp", n.UsageAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	for _, id := range []string{"e1", "e2", "e3", "e4", "desk1"} {
		for _, msg := range variants(usageOf(id, s.startTime(id))) {
			raw, err := proto.Marshal(msg)
			if err != nil {
				// Such as a text that is not UTF-8.
				continue
			}
			if _, err := conn.Write(raw); err != nil {
				t.Logf("%d bytes: %v", len(raw), err)
			}
		}
	}
	n.awaitServing(t)
	n.checkServes(t, "d")
}

// Guards against rows of the nodes' own tables, written by another writer, that end a node, keep it from
// serving or put sound requests into quarantine.
func TestRowsOutOfRangeHarmNothing(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4)
	running := s.startNode("n1", s.storeAddress)
	running.awaitServing(t)
	member := &wire.Member{Name: "f", DataCentre: "dc", Address: "127.0.0.1:9", UsageAddress: "127.0.0.1:9", Strength: 1}
	for i, msg := range variants(member) {
		s.putRow(t, "relay_nodes", fmt.Sprint("f", i), msg)
	}
	quarantined := &wire.KeptWork{SinceMs: 1, Ended: []*wire.Incarnation{{Id: "e1", Born: 1}}}
	for i, msg := range variants(quarantined) {
		s.putRow(t, "relay_quarantine", hex.EncodeToString(work.FromPart(fmt.Sprint("w", i)).Bytes()), msg)
		s.putRow(t, "relay_quarantine", fmt.Sprint("w", i), msg)
	}
	for _, table := range []string{"relay_nodes", "relay_quarantine"} {
		s.store.Put(table, "broken", []byte("\xff\xff\xff"))
		s.store.Put(table, "empty", nil)
		s.store.Put(table, strings.Repeat("k", 200), make([]byte, 60_000))
	}
	started := s.startNode("n2", s.storeAddress, running.peerAddress)
	started.awaitServing(t)
	running.checkServes(t, "r")
	started.checkServes(t, "s")
	running.stop()
	last := s.startNode("n3", s.storeAddress)
	last.awaitServing(t)
	last.checkServes(t, "t")
}

// putRow writes a message as a row of the store.
func (s *site) putRow(t *testing.T, table, key string, msg proto.Message) {
	t.Helper()
	raw, err := proto.Marshal(msg)
	if err != nil {
		// Such as a text that is not UTF-8.
		return
	}
	s.store.Put(table, key, raw)
}

// startTime returns the start time of an upstream of the site, as its entry tells it.
func (s *site) startTime(id string) int64 {
	if e := s.engines[id]; e != nil {
		return int64(e.engine.Entry("dc").GetBorn())
	}
	return int64(s.plainService.Entry("dc").GetBorn())
}

// usageOf returns a datagram that has every field and is about one upstream.
func usageOf(id string, born int64) *wire.Usage {
	content, part := work.FromPart("content").Bytes(), work.FromPart("part").Bytes()
	upstream := &wire.Incarnation{Id: id, Born: born}
	limit := &wire.NamedLimit{AgeMs: -1}
	return &wire.Usage{
		From:    &wire.Member{Name: "n9", DataCentre: "dc", Address: "127.0.0.1:9", UsageAddress: "127.0.0.1:9", Strength: 1},
		Engines: []*wire.EngineUse{{Id: id, Born: born, Amount: 1, Streams: 1, PromptTokens: 1, Slowdown: 1}},
		Placed:  []*wire.PlacedEngine{{Id: id, Born: born, From: 0, To: 1}},
		Silent:  []*wire.Incarnation{upstream}, Responsive: []*wire.Incarnation{upstream},
		Lost:       []*wire.LostWork{{Work: content, Id: id, Born: born, Parts: [][]byte{part}, AgeMs: 1}},
		Answered:   [][]byte{content},
		PartShares: []*wire.PartShare{{Part: part, Answers: 1, Requests: 2}}, Quarantined: []*wire.QuarantinedWork{{Work: content, AgeMs: 1}},
		PermitAsk:   &wire.PermitAsk{Id: id, Born: born, Life: 1, Number: 1, Want: 1, Named: limit, Sent: []uint32{1}},
		PermitGrant: &wire.PermitGrant{Id: id, Born: born, Life: 1, Number: 1, Permits: 1, NextMs: 1, Queue: 1, Named: limit},
		Limits:      []*wire.UpstreamLimit{{Id: id, Born: born, Named: limit}},
		HeardOf:     []string{"dc"}, Nodes: 1, Hubs: []*wire.Member{{Name: "n8", DataCentre: "dc", Address: "127.0.0.1:9", UsageAddress: "127.0.0.1:9"}},
		RetryAsks:  []*wire.RetryAsk{{Service: "writer", Life: 1, SentMs: 1, Wanted: 1}},
		RetryLoans: []*wire.RetryLoan{{Borrower: "n1", Service: "writer", Life: 1, AskedMs: 1, Retries: 1}},
		Accounts:   []*wire.AccountUse{{Service: "writer", Account: "a", Amount: 1}},
	}
}

// variants returns copies of a message that differ from it in one field, set to an extreme, or repeated
// often.
func variants[M proto.Message](msg M) []proto.Message {
	list := []proto.Message{msg}
	eachField(msg.ProtoReflect(), nil, func(path []protoreflect.FieldDescriptor, field protoreflect.FieldDescriptor) {
		for _, value := range extremes(field) {
			variant := proto.Clone(msg)
			setField(variant.ProtoReflect(), path, field, value)
			list = append(list, variant)
		}
	})
	return list
}

// eachField calls f for each field that a message has, in the order of the schema, with the path of the
// messages that lead to it. Of a list of messages it visits the first.
func eachField(msg protoreflect.Message, path []protoreflect.FieldDescriptor, f func(path []protoreflect.FieldDescriptor, field protoreflect.FieldDescriptor)) {
	fields := msg.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !msg.Has(field) {
			continue
		}
		f(path, field)
		value, inner := msg.Get(field), append(path[:len(path):len(path)], field)
		switch {
		case field.Kind() != protoreflect.MessageKind:
		case field.IsList():
			eachField(value.List().Get(0).Message(), inner, f)
		default:
			eachField(value.Message(), inner, f)
		}
	}
}

// manyTimes is how often a value is repeated in a list that is too long.
const manyTimes = 2000

// extremes returns values at the ends of a field's type; of a list, functions of its values. A nil value
// clears the field.
func extremes(field protoreflect.FieldDescriptor) []any {
	values := []any{nil}
	switch field.Kind() {
	case protoreflect.DoubleKind:
		values = append(values, math.NaN(), math.Inf(1), math.Inf(-1), -1.0, math.MaxFloat64)
	case protoreflect.Int32Kind:
		values = append(values, int32(math.MinInt32), int32(-1), int32(math.MaxInt32))
	case protoreflect.Int64Kind:
		values = append(values, int64(math.MinInt64), int64(-1), int64(math.MaxInt64))
	case protoreflect.Uint32Kind:
		values = append(values, uint32(math.MaxUint32))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		values = append(values, uint64(math.MaxUint64))
	case protoreflect.StringKind:
		values = append(values, strings.Repeat("x", 3000), "\x00\n=", "[::1]:99999999")
	case protoreflect.BytesKind:
		values = append(values, []byte{1}, make([]byte, 3000))
	case protoreflect.BoolKind:
		values = append(values, true)
	default:
	}
	return values
}

// setField sets a field of a message that a path leads to. A list gets the value as its only one, or for
// nil its first value many times.
func setField(msg protoreflect.Message, path []protoreflect.FieldDescriptor, field protoreflect.FieldDescriptor, value any) {
	for _, step := range path {
		if step.IsList() {
			msg = msg.Mutable(step).List().Get(0).Message()
			continue
		}
		msg = msg.Mutable(step).Message()
	}
	switch {
	case field.IsList() && value == nil:
		list := msg.Mutable(field).List()
		for range manyTimes {
			list.Append(list.Get(0))
		}
	case field.IsList():
		msg.Mutable(field).List().Set(0, protoreflect.ValueOf(value))
	case value == nil:
		msg.Clear(field)
	default:
		msg.Set(field, protoreflect.ValueOf(value))
	}
}
