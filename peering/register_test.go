package peering

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/momentwire"
	"github.com/hoistjunction/hoistjunction/wire"
)

// scriptedRegistry records its calls, and cancels the test's context at call number maxCalls.
// Later calls fail.
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

func (r *scriptedRegistry) Registrations(context.Context) (RegistryReading, error) {
	return RegistryReading{List: r.list}, r.recordCall("read")
}

func (r *scriptedRegistry) Remove(context.Context, []Registration) error {
	return r.recordCall("remove")
}

// A node whose registration from an earlier start still exists needs one call to know the
// others. The registry is read before registering unless the whole system starts for the first
// time, when no node can be registered.
func TestRegister(t *testing.T) {
	tests := []struct {
		name       string
		first      bool
		registered []*wire.Member
		want       string
		wantOthers int
	}{
		{"first start of the whole system", true, nil, "register read", 0},
		{"registered before", false, []*wire.Member{member("a"), member("me")}, "read", 1},
		{"registered at another address", false, []*wire.Member{member("a"), {Name: "me", Address: "elsewhere:1"}}, "read register read", 1},
		{"not registered", false, []*wire.Member{member("a"), member("b")}, "read register read", 2},
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
				t.Errorf("got %d member updates, want 1, also without other nodes", node.memberReports)
			}
			if got := fmt.Sprint(node.others); got != fmt.Sprint(tt.wantOthers) {
				t.Errorf("got %s others, want %d", got, tt.wantOthers)
			}
		})
	}
}

// failingRegistry fails the first reads, and records the order of calls and what was registered.
type failingRegistry struct {
	scriptedRegistry
	failures int
	asOf     moment.Moment
	written  []*wire.Member
}

func (r *failingRegistry) Register(ctx context.Context, m *wire.Member) error {
	r.written = append(r.written, m)
	return r.scriptedRegistry.Register(ctx, m)
}

func (r *failingRegistry) Registrations(ctx context.Context) (RegistryReading, error) {
	reading, err := r.scriptedRegistry.Registrations(ctx)
	reading.AsOf = r.asOf
	if r.failures--; r.failures >= 0 {
		return RegistryReading{}, errors.New("away")
	}
	return reading, err
}

// Guards against a started node that registers although it could not read the registry: its registration
// replaced the one of its earlier process, which vouched for an era, by one that vouches for nothing. The
// node has moved to another address, so that it has to register.
func TestRegistrationReplacesOnlyWhatWasRead(t *testing.T) {
	const failures = 4
	vouched := moment.At(2, 9)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		registry := &failingRegistry{failures: failures, asOf: moment.At(3, 1)}
		registry.cancel, registry.maxCalls = cancel, failures+2
		earlier := &wire.Member{Name: "me", Address: "elsewhere:1", Vouched: momentwire.Moment(vouched)}
		registry.list = []Registration{{Member: earlier, Renewed: moment.At(3, 1)}}
		node := &fakeNode{}
		p := New(member("me"), nil, registry, node, node, clocktest.NewClock(), zap.NewNop(), http.DefaultTransport, 1)
		if err := p.MaintainRegistration(ctx); !errors.Is(err, context.Canceled) {
			t.Errorf("got error %v, want %v", err, context.Canceled)
		}
		for i, call := range registry.calls[:failures+1] {
			if call != "read" {
				t.Errorf("call %d: got %q before the registry was read", i+1, call)
			}
		}
		if len(registry.written) != 1 || momentwire.MomentOf(registry.written[0].GetVouched()) != vouched {
			t.Errorf("got registrations %v, want one that names the era %v", registry.written, vouched)
		}
	})
}
