package once_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/internal/fixedseed"
	"github.com/hoistjunction/hoistjunction/once"
)

// keyExamples are keys like those that callers send.
func keyExamples() [][]byte {
	l := once.New(once.WithIncarnation(7), once.WithSecret([]byte("s")))
	return [][]byte{[]byte(l.IssueTicket("clinic").String()), []byte("hjt1-"), []byte("order-17")}
}

func checkRoundTrip(t *testing.T, key string) {
	ticket, ok := once.ParseTicket(key)
	if ok && ticket.String() != key {
		t.Errorf("got ticket %q from key %q, want the same text", ticket, key)
	}
}

func FuzzParseTicket(f *testing.F) {
	for _, e := range keyExamples() {
		f.Add(string(e))
	}
	f.Fuzz(checkRoundTrip)
}

func TestParseTicketOnManyInputs(t *testing.T) {
	fixedseed.Mutate(keyExamples(), func(input []byte) { checkRoundTrip(t, string(input)) })
}

func TestLedgerGivesUpTheLowestNumbers(t *testing.T) {
	l := once.New(once.WithIncarnation(7), once.WithCapacity(2))
	first := l.NewClaim()
	if !l.Begin(first.Sequence) || l.Begin(first.Sequence) {
		t.Error("got another answer than yes once, want yes once")
	}
	l.NewClaim()
	l.NewClaim()
	if got := l.State(first.Sequence); got != once.Evicted {
		t.Errorf("got state %d, want forgotten", got)
	}
	if l.Begin(first.Sequence) {
		t.Error("got leave to begin a forgotten number, want none")
	}
	if got := l.State(99); got != once.NeverIssued {
		t.Errorf("got state %d for a number never issued, want never issued", got)
	}
}

func TestTicketBelongsToItsAccount(t *testing.T) {
	l := once.New(once.WithIncarnation(7), once.WithSecret([]byte("s")))
	ticket := l.IssueTicket("clinic")
	if !l.Verify(ticket, "clinic") {
		t.Error("got a ticket refused to its own account, want it verified")
	}
	if l.Verify(ticket, "radio") {
		t.Error("got a ticket verified for another account, want it refused")
	}
}
