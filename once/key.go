package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// ticketPrefix marks a key as one that a node has issued.
const ticketPrefix = "hjt1-"

// Claim says which incarnation of a node may run a key, and under which of
// that incarnation's sequence numbers. A key has one Claim for ever: either
// it is written in the key (a ticket), or the platform's table holds it.
type Claim struct {
	Owner    uint64 `json:"owner"`
	Sequence uint64 `json:"sequence"`
}

// Ticket is a key that carries its claim in itself. The tag binds it to the
// client account that it was issued to, so that no other account can use up
// its sequence number.
type Ticket struct {
	Claim Claim
	Tag   uint64
}

// String returns the ticket as callers see it.
func (t Ticket) String() string {
	return fmt.Sprintf("%s%016x-%x-%016x", ticketPrefix, t.Claim.Owner, t.Claim.Sequence, t.Tag)
}

// ParseTicket reads a ticket out of a key. It returns false for a key that a
// caller has made up itself. It does not check the tag: only the owner can.
func ParseTicket(key string) (Ticket, bool) {
	rest, ok := strings.CutPrefix(key, ticketPrefix)
	if !ok {
		return Ticket{}, false
	}
	fields := strings.Split(rest, "-")
	if len(fields) != 3 {
		return Ticket{}, false
	}
	var numbers [3]uint64
	for i, f := range fields {
		n, err := strconv.ParseUint(f, 16, 64)
		if err != nil {
			return Ticket{}, false
		}
		numbers[i] = n
	}
	t := Ticket{Claim: Claim{Owner: numbers[0], Sequence: numbers[1]}, Tag: numbers[2]}
	return t, t.String() == key
}

// IssueTicket makes a ticket for a client account.
func (l *Ledger) IssueTicket(account string) Ticket {
	c := l.NewClaim()
	return Ticket{Claim: c, Tag: l.ticketTag(c, account)}
}

// Verify reports whether this incarnation issued a ticket to an account.
func (l *Ledger) Verify(t Ticket, account string) bool {
	return l.Owns(t.Claim) && l.ticketTag(t.Claim, account) == t.Tag
}

func (l *Ledger) ticketTag(c Claim, account string) uint64 {
	mac := hmac.New(sha256.New, l.secret)
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], c.Sequence)
	mac.Write(number[:])
	mac.Write([]byte(account))
	return binary.BigEndian.Uint64(mac.Sum(nil))
}
