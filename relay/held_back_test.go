package relay

import (
	"maps"
	"testing"

	"go.uber.org/zap/zapcore"

	"github.com/hoistjunction/hoistjunction/admission"
	"github.com/hoistjunction/hoistjunction/fairshare"
)

// Guards against a refusal for priority whose log line does not show the inputs of the decision, so
// that operators cannot tell why a caller was refused.
func TestHeldBackField(t *testing.T) {
	e := zapcore.NewMapObjectEncoder()
	heldBackField(&admission.Decision{Priority: 2, Use: 0.87654, Pressure: 0.7, Level: 0.72, Threshold: 0.71, Age: 420}).AddTo(e)
	want := map[string]any{"priority": 2, "use": 0.877, "pressure": 0.7, "level": 0.72, "threshold": 0.71, "pressure_age_ms": int64(420)}
	got := maps.Clone(e.Fields)
	if n, ok := got["priority"].(int64); ok {
		got["priority"] = int(n)
	}
	if !maps.Equal(got, want) {
		t.Errorf("got fields %v, want %v", got, want)
	}
	none := zapcore.NewMapObjectEncoder()
	heldBackField(nil).AddTo(none)
	if len(none.Fields) > 0 {
		t.Errorf("got fields %v for another refusal, want none", none.Fields)
	}
}

// Guards against a refusal of an account above its share whose log line does not show what the account
// uses, what its share is and how old that is.
func TestOverShareField(t *testing.T) {
	e := zapcore.NewMapObjectEncoder()
	overShareField(&fairshare.Decision{Account: "clinic", Use: 1660.4, Share: 1232.8, Age: 350}).AddTo(e)
	want := map[string]any{"account": "clinic", "account_use": int64(1660), "account_share": int64(1232), "share_age_ms": int64(350)}
	if !maps.Equal(e.Fields, want) {
		t.Errorf("got fields %v, want %v", e.Fields, want)
	}
	none := zapcore.NewMapObjectEncoder()
	overShareField(nil).AddTo(none)
	if len(none.Fields) > 0 {
		t.Errorf("got fields %v for another refusal, want none", none.Fields)
	}
}
