package fleet

// Presence says who answers at the address where an incarnation is thought to be.
type Presence uint8

// The presences.
const (
	// Unnamed: whoever answers has not said enough to tell.
	PresenceUnknown Presence = iota
	// Itself: it is the incarnation.
	Present
	// Another: it is another upstream, so the incarnation has ended or was never there.
	Replaced
)

var presenceNames = [...]string{"unnamed", "itself", "another"}

// String names the presence for logs.
func (p Presence) String() string { return presenceNames[p] }

// Presence says who has answered in an incarnation's place and called itself by an ID; empty
// for one that has said nothing. Where starts are told, an ID alone does not say which run
// it is.
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
