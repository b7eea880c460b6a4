package burn_test

import (
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/burn"
	"github.com/hoistjunction/hoistjunction/clock"
)

func TestMeterDropsExpiredRequests(t *testing.T) {
	m := burn.NewMeter()
	for range 10 {
		m.Record(1000, false)
	}
	m.Record(1000+burn.ShortWindow, true)
	short, long := m.Counts(1000 + burn.ShortWindow)
	if want := (burn.Count{Total: 1, Good: 1}); short != want {
		t.Errorf("got %+v in the short window, want %+v", short, want)
	}
	if want := (burn.Count{Total: 11, Good: 1}); long != want {
		t.Errorf("got %+v in the long window, want %+v", long, want)
	}
	_, long = m.Counts(clock.Millis(1000) + 2*burn.LongWindow)
	if long.Total != 0 {
		t.Errorf("got %d requests in the long window after two hours, want none", long.Total)
	}
}

func TestReportOrder(t *testing.T) {
	line := func(route string, good uint32) burn.Line {
		c := burn.Count{Total: 100, Good: good}
		return burn.Line{Route: route, Account: "clinic", Short: c, Long: c}
	}
	r := burn.NewReport(0.95, 1, []burn.Line{line("fine", 100), line("bad", 45)}, []burn.Line{line("bad", 45), line("so-so", 90)})
	var got []string
	for _, row := range r.Rows {
		got = append(got, row.Route)
	}
	if want := "bad so-so fine"; strings.Join(got, " ") != want {
		t.Errorf("got order %v, want %s", got, want)
	}
	if rate := r.Rows[0].LongRate; rate < 10.99 || rate > 11.01 {
		t.Errorf("got burn rate %v for 110 missed requests of 200, want 11", rate)
	}
	var page, text strings.Builder
	if err := r.HTML(&page); err != nil || !strings.Contains(page.String(), "1 nodes could not be read") {
		t.Errorf("got error %v and a page of %d bytes, want a page that reports the missing node", err, page.Len())
	}
	if err := r.Text(&text); err != nil || !strings.Contains(text.String(), "bad    clinic") {
		t.Errorf("got error %v and text %q, want a table", err, text.String())
	}
}
