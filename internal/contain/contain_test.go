package contain_test

import (
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hoistjunction/hoistjunction/internal/contain"
)

// Guards against a panic that ends the process, that nobody sees, or that fills the log while it repeats.
func TestPanicIsCountedAndLoggedOnce(t *testing.T) {
	core, logged := observer.New(zap.ErrorLevel)
	p := contain.New(zap.New(core))
	input := func() string { return strings.Repeat("x", 1<<20) }
	for range 3 {
		if p.Run("plan", input, func() { panic("out of range") }) {
			t.Error("got a panic reported as success")
		}
	}
	for i := range 1000 {
		p.Run("message", input, func() { panic(fmt.Sprint("cause ", i)) })
	}
	if !p.Run("plan", input, func() {}) {
		t.Error("got success reported as a panic")
	}
	if got := p.Counts().String(); got != `{"message": 1000, "plan": 3}` {
		t.Errorf("got counts %s", got)
	}
	const maxLogged, maxBytes = 64, 8 << 10
	if logged.Len() != maxLogged {
		t.Errorf("got %d lines, want %d", logged.Len(), maxLogged)
	}
	fields := logged.All()[0].ContextMap()
	if got := len(fields["input"].(string)); fields["place"] != "plan" || fields["cause"] != "out of range" || got != maxBytes {
		t.Errorf("got place %v, cause %v and %d bytes of input", fields["place"], fields["cause"], got)
	}
}
