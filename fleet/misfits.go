package fleet

import "github.com/cockroachdb/errors"

// maxReportedMisfits bounds the entries whose last reported misfit is stored, so that it is reported once.
// Further ones are only counted.
const maxReportedMisfits = 1024

// Misfit is an entry, or a message about layers, that does not fit the configuration of its service.
type Misfit struct {
	ID      Incarnation
	Service string
	Err     *MisfitError
}

// misfitLog collects misfits until they are taken. Each one is counted, and reported once per entry until its
// text changes.
type misfitLog struct {
	counts   map[Field]int
	reported map[ID]string
	fresh    []Misfit
}

func newMisfitLog() misfitLog {
	return misfitLog{counts: make(map[Field]int), reported: make(map[ID]string)}
}

// record records why an upstream does not fit. An unknown service is no misfit: the entry may be of a service to
// come.
func (l *misfitLog) record(u Upstream, err error) {
	var misfit *MisfitError
	if !errors.As(err, &misfit) {
		return
	}
	l.counts[misfit.Field]++
	id, text := u.ID.ID(), misfit.Error()
	last, known := l.reported[id]
	if last == text || !known && len(l.reported) >= maxReportedMisfits {
		return
	}
	l.reported[id] = text
	l.fresh = append(l.fresh, Misfit{ID: u.ID, Service: u.Service, Err: misfit})
}

// forget makes the next misfit of an entry be reported again.
func (l *misfitLog) forget(id ID) { delete(l.reported, id) }

// TakeMisfits returns the number of misfits by field, and those to report, since the last call.
func (v *View) TakeMisfits() (counts map[Field]int, fresh []Misfit) {
	counts, fresh = v.misfits.counts, v.misfits.fresh
	v.misfits.counts, v.misfits.fresh = make(map[Field]int), nil
	return counts, fresh
}
