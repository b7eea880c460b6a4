package peering

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/wire"
)

// scriptedRegistry holds registrations, and ends the test's context after so many
// calls.
type scriptedRegistry struct {
	list     []Registration
	maxCalls int
	cancel   context.CancelFunc
	calls    []string
}

func (r *scriptedRegistry) recordCall(call string) error {
	r.calls = append(r.calls, call)
	if len(r.calls) > r.maxCalls {
		return errors.New("down")
	}
	if len(r.calls) == r.maxCalls {
		r.cancel()
	}
	return nil
}

func (r *scriptedRegistry) Register(_ context.Context, m *wire.Member) error {
	r.list = append(r.list, Registration{Member: m, Renewed: moment.At(0, uint64(len(r.calls)+1))})
	return r.recordCall("register")
}

func (r *scriptedRegistry) Registrations(context.Context) ([]Registration, []error, error) {
	return r.list, nil, r.recordCall("read")
}

func (r *scriptedRegistry) Remove(context.Context, []Registration) error {
	return r.recordCall("remove")
}

// A node whose registration of an earlier life still stands knows the others with
// one call. Only where the whole system starts, and nobody can be registered yet,
// is the registry not read first.
func TestRegister(t *testing.T) {
	tests := []struct {
		name       string
		first      bool
		registered []*wire.Member
		want       string
		wantOthers int
	}{
		{"the whole system starts", true, nil, "register read", 0},
		{"its registration stands", false, []*wire.Member{member("a"), member("me")}, "read", 1},
		{"it has moved", false, []*wire.Member{member("a"), {Name: "me", Address: "elsewhere:1"}}, "read register read", 1},
		{"it is new", false, []*wire.Member{member("a"), member("b")}, "read register read", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			registry := &scriptedRegistry{cancel: cancel, maxCalls: len(strings.Fields(tt.want))}
			for i, m := range tt.registered {
				registry.list = append(registry.list, Registration{Member: m, Renewed: moment.At(0, uint64(i+1))})
			}
			node := &fakeNode{}
			p := New(member("me"), nil, registry, node, node, clocktest.NewClock(), zap.NewNop(), http.DefaultTransport, 1, WithFirstStart(tt.first))
			if err := p.MaintainRegistration(ctx); !errors.Is(err, context.Canceled) {
				t.Errorf("got error %v, want %v", err, context.Canceled)
			}
			if got := strings.Join(registry.calls, " "); got != tt.want {
				t.Errorf("got calls %q, want %q", got, tt.want)
			}
			if node.memberReports != 1 {
				t.Errorf("got the nodes told %d times, want once, also where there are no others", node.memberReports)
			}
			if got := fmt.Sprint(node.others); got != fmt.Sprint(tt.wantOthers) {
				t.Errorf("got %s others, want %d", got, tt.wantOthers)
			}
		})
	}
}
