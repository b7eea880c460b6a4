package standin

import (
	"time"

	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/tablestore"
)

// delayedList is a list of VMs whose changes show late.
type delayedList struct {
	visible   tablestore.VMList
	pending []pendingList
}

type pendingList struct {
	visibleFrom time.Time
	vms []pool.Listing
}

func (l *delayedList) publish(due time.Time, vms []pool.Listing) {
	l.pending = append(l.pending, pendingList{visibleFrom: due, vms: vms})
}

// visibleAt returns the list as it shows at a time.
func (l *delayedList) visibleAt(now time.Time) tablestore.VMList {
	for len(l.pending) > 0 && !l.pending[0].visibleFrom.After(now) {
		l.visible = tablestore.VMList{Version: l.visible.Version + 1, VMs: l.pending[0].vms}
		l.pending = l.pending[1:]
	}
	return l.visible
}
