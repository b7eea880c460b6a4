package fleet

// Presence says who answers at the address where an incarnation is thought to be.
type Presence uint8

// The presences.
const (
	// Unnamed: whoever answers has not said enough to tell.
	Unnamed Presence = iota
	// Itself: it is the incarnation.
	Itself
	// Another: it is another upstream, so the incarnation has ended or was never there.
	Another
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
		return Unnamed
	case answerer != i.id:
		return Another
	case i.born != 0:
		return Unnamed
	}
	return Itself
}
