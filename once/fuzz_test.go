package once_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/once"
)

func FuzzParseTicket(f *testing.F) {
	l := once.New(once.WithIncarnation(7), once.WithSecret([]byte("s")))
	f.Add(l.Issue("clinic").String())
	f.Add("hjt1-")
	f.Add("order-17")
	f.Fuzz(func(t *testing.T, key string) {
		ticket, ok := once.ParseTicket(key)
		if ok && ticket.String() != key {
			t.Errorf("got ticket %q from key %q, want the same text", ticket, key)
		}
	})
}

func TestLedgerGivesUpTheLowestNumbers(t *testing.T) {
	l := once.New(once.WithIncarnation(7), once.WithCapacity(2))
	first := l.Next()
	if !l.Begin(first.Sequence) || l.Begin(first.Sequence) {
		t.Error("got another answer than yes once, want yes once")
	}
	l.Next()
	l.Next()
	if got := l.State(first.Sequence); got != once.Forgotten {
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
	ticket := l.Issue("clinic")
	if !l.Verify(ticket, "clinic") {
		t.Error("got a ticket refused to its own account, want it verified")
	}
	if l.Verify(ticket, "radio") {
		t.Error("got a ticket verified for another account, want it refused")
	}
}
