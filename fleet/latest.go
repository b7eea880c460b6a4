package fleet

// latest knows the newest start that was heard of for each upstream. It is the one place
// that asks which runs belong to the same upstream.
type latest map[ID]Start

// run returns the newest run of an incarnation's upstream.
func (l latest) run(i Incarnation) Incarnation { return NewIncarnation(i.id, max(l[i.id], i.born)) }

// outdated tells whether a later run was heard of.
func (l latest) outdated(i Incarnation) bool { return i.born < l[i.id] }

// note takes in an incarnation. Where it is a later run than those heard of, it returns
// the one that it follows.
func (l latest) note(i Incarnation) (earlier Incarnation, later bool) {
	earlier = NewIncarnation(i.id, l[i.id])
	if !i.Succeeds(earlier) {
		return Incarnation{}, false
	}
	l[i.id] = i.born
	return earlier, true
}
