package fleet

// Presence is the result of comparing the upstream that answers at an address with the
// incarnation expected at that address.
type Presence uint8

// The results of a comparison.
const (
	// PresenceUnknown means that the answer does not identify the incarnation.
	PresenceUnknown Presence = iota
	// Present means that the expected incarnation answered.
	Present
	// Replaced means that another upstream answered, so the expected incarnation has
	// terminated or never had this address.
	Replaced
)

var presenceNames = [...]string{"unnamed", "itself", "another"}

// String returns the name of the result for logs.
func (p Presence) String() string { return presenceNames[p] }

// Presence compares the expected incarnation with the ID that the answering upstream reported,
// empty if it reported none. Where upstreams report start times, a matching ID alone does not
// identify the incarnation.
func (i Incarnation) Presence(answerer ID) Presence {
	switch {
	case answerer == "":
		return PresenceUnknown
	case answerer != i.id:
		return Replaced
	case i.started != 0:
		return PresenceUnknown
	}
	return Present
}
