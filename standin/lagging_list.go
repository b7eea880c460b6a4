package standin

import (
	"time"

	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/tablestore"
)

// delayedList is a list of VMs whose changes show late.
type delayedList struct {
	visible   tablestore.VMList
	scheduled []scheduledList
}

type scheduledList struct {
	visibleFrom time.Time
	vms         []pool.Listing
}

func (l *delayedList) publish(due time.Time, vms []pool.Listing) {
	l.scheduled = append(l.scheduled, scheduledList{visibleFrom: due, vms: vms})
}

// visibleAt returns the list as it shows at a time.
func (l *delayedList) visibleAt(now time.Time) tablestore.VMList {
	for len(l.scheduled) > 0 && !l.scheduled[0].visibleFrom.After(now) {
		l.visible = tablestore.VMList{Version: l.visible.Version + 1, VMs: l.scheduled[0].vms}
		l.scheduled = l.scheduled[1:]
	}
	return l.visible
}
