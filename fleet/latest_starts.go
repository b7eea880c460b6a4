package fleet

// latestStarts holds the latest known start time of each upstream. Only this type relates the
// incarnations of an upstream to each other.
type latestStarts map[ID]StartTime

// newest returns the latest known incarnation of the upstream that i belongs to.
func (l latestStarts) newest(i Incarnation) Incarnation {
	return NewIncarnation(i.id, max(l[i.id], i.started))
}

// superseded reports whether a later incarnation of the same upstream is known.
func (l latestStarts) superseded(i Incarnation) bool { return i.started < l[i.id] }

// record records an incarnation. If it is later than those recorded before, record returns the
// latest of those and true.
func (l latestStarts) record(i Incarnation) (earlier Incarnation, later bool) {
	earlier = NewIncarnation(i.id, l[i.id])
	if !i.Succeeds(earlier) {
		return Incarnation{}, false
	}
	l[i.id] = i.started
	return earlier, true
}
