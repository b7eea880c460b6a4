package once_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/internal/fixedseed"
	"github.com/hoistjunction/hoistjunction/once"
)

// keyExamples returns a valid ticket, a truncated ticket and a key chosen by a caller.
func keyExamples() [][]byte {
	l := once.New(once.WithIncarnation(7), once.WithSecret([]byte("s")))
	return [][]byte{[]byte(l.IssueTicket("clinic").String()), []byte("hjt1-"), []byte("order-17")}
}

func checkRoundTrip(t *testing.T, key string) {
	ticket, ok := once.ParseTicket(key)
	if ok && ticket.String() != key {
		t.Errorf("got ticket %q, want key %q unchanged", ticket, key)
	}
}

func FuzzParseTicket(f *testing.F) {
	for _, e := range keyExamples() {
		f.Add(string(e))
	}
	f.Fuzz(checkRoundTrip)
}

func TestParseTicketWithMutatedInputs(t *testing.T) {
	fixedseed.Mutate(keyExamples(), func(input []byte) { checkRoundTrip(t, string(input)) })
}

func TestLedgerEvictsLowestNumbers(t *testing.T) {
	l := once.New(once.WithIncarnation(7), once.WithCapacity(2))
	claim := l.NewClaim()
	if !l.Begin(claim.Sequence) || l.Begin(claim.Sequence) {
		t.Error("got a failed first Begin or a successful second one, want true, then false")
	}
	l.NewClaim()
	l.NewClaim()
	if got := l.State(claim.Sequence); got != once.Evicted {
		t.Errorf("got state %d for the lowest number, want evicted", got)
	}
	if l.Begin(claim.Sequence) {
		t.Error("got true from Begin for an evicted number, want false")
	}
	if got := l.State(99); got != once.NeverIssued {
		t.Errorf("got state %d for a number that was not issued, want never issued", got)
	}
}

func TestTicketIsBoundToAccount(t *testing.T) {
	l := once.New(once.WithIncarnation(7), once.WithSecret([]byte("s")))
	ticket := l.IssueTicket("clinic")
	if !l.Verify(ticket, "clinic") {
		t.Error("got a rejected ticket of the same account, want it verified")
	}
	if l.Verify(ticket, "radio") {
		t.Error("got a verified ticket of another account, want it rejected")
	}
}
