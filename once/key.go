package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// ticketPrefix marks a key as a ticket issued by a node.
const ticketPrefix = "hjt1-"

// Claim identifies the only node incarnation that may execute a key, and the key's
// sequence number in that incarnation. A key's claim never changes: it is part of the
// key (a ticket) or stored in the platform's table.
type Claim struct {
	Owner    uint64 `json:"owner"`
	Sequence uint64 `json:"sequence"`
}

// Ticket is a key that contains its claim. The tag binds the ticket to the client
// account that it was issued to, so that no other account can use up its sequence
// number.
type Ticket struct {
	Claim Claim
	Tag   uint64
}

// String returns the key that callers send for the ticket.
func (t Ticket) String() string {
	return fmt.Sprintf("%s%016x-%x-%016x", ticketPrefix, t.Claim.Owner, t.Claim.Sequence, t.Tag)
}

// ParseTicket parses a key as a ticket. It returns false for a key that is not in the
// form of a ticket. It does not check the tag, which only the owner can do with
// Verify.
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

// IssueTicket returns a ticket with a new claim for a client account.
func (l *Ledger) IssueTicket(account string) Ticket {
	c := l.NewClaim()
	return Ticket{Claim: c, Tag: l.ticketTag(c, account)}
}

// Verify reports whether this incarnation issued the ticket to the account.
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
