package fleet

// latestStarts knows the newest start that was heard of for each upstream. It is the one place
// that asks which runs belong to the same upstream.
type latestStarts map[ID]StartTime

// newest returns the newest run of an incarnation's upstream.
func (l latestStarts) newest(i Incarnation) Incarnation {
	return NewIncarnation(i.id, max(l[i.id], i.started))
}

// superseded tells whether a later run was heard of.
func (l latestStarts) superseded(i Incarnation) bool { return i.started < l[i.id] }

// record takes in an incarnation. Where it is a later run than those heard of, it returns
// the one that it follows.
func (l latestStarts) record(i Incarnation) (earlier Incarnation, later bool) {
	earlier = NewIncarnation(i.id, l[i.id])
	if !i.Succeeds(earlier) {
		return Incarnation{}, false
	}
	l[i.id] = i.started
	return earlier, true
}
