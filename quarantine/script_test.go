package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/script"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/work"
)

// lasts is for how long works stay quarantined here.
const lasts clock.Millis = 60_000

func TestScripts(t *testing.T) {
	script.Run(t, "testdata", func(t *testing.T) func(script.Step) []string {
		p := &player{t: t, table: quarantine.New(lasts), names: make(map[work.ID]string)}
		return p.do
	})
}

// player carries out the lines of a script.
type player struct {
	t     *testing.T
	table *quarantine.Table
	names map[work.ID]string
	now   clock.Millis
}

// named returns the work of a name.
func (p *player) named(name string) work.ID {
	id := work.ID{}.By(name)
	p.names[id] = name
	return id
}

func (p *player) do(s script.Step) []string {
	p.now = clock.Millis(s.Int("at", int(p.now)))
	t, w := p.table, p.named(s.Word(0))
	own := s.Named["told"] != "yes"
	switch s.Verb {
	case "lost":
		return p.show(t.Lost(p.now, w, script.Incarnation(s.Word(1)), fate(s.Named["fate"]), 1000, own))
	case "silent":
		return p.show(t.Found(p.now, script.Incarnation(s.Word(0)), quarantine.Silent))
	case "ended":
		return p.show(t.Found(p.now, script.Incarnation(s.Word(0)), quarantine.Ended))
	case "answers":
		return p.show(t.Answers(script.Incarnation(s.Word(0))))
	case "answered":
		return p.show(t.Answered(p.now, w, own))
	case "agree":
		return p.show(t.Agree(p.now, w, []fleet.Incarnation{fleet.IncarnationByID("x1"), fleet.IncarnationByID("x2"), fleet.IncarnationByID("x3")}))
	case "learn":
		return p.show(t.Learn(p.now, w, clock.Millis(s.Int("age", 0))))
	case "review":
		return p.show(t.Review(p.now))
	case "expire":
		t.Expire(p.now)
		return nil
	case "doubtful":
		return []string{fmt.Sprint(t.Doubtful())}
	case "holds":
		left, ok := t.Holds(p.now, w)
		return []string{fmt.Sprintf("%v left=%d suspected=%v", ok, left, t.Suspects(w))}
	}
	p.t.Fatalf("line %d: no such verb %q", s.Line, s.Verb)
	return nil
}

func fate(name string) quarantine.Fate {
	switch name {
	case "silent":
		return quarantine.Silent
	case "ended":
		return quarantine.Ended
	}
	return quarantine.Unknown
}

func (p *player) show(news []quarantine.News) []string {
	var lines []string
	for _, n := range news {
		switch n := n.(type) {
		case quarantine.LostNews:
			lines = append(lines, fmt.Sprintf("tell %s lost at %s", p.names[n.Work], n.Upstream))
		case quarantine.HeldNews:
			lines = append(lines, fmt.Sprintf("held %s ended=%v own=%v", p.names[n.Work], n.Ended, n.Own))
		case quarantine.CertainNews:
			lines = append(lines, fmt.Sprintf("certain %s own=%v", p.names[n.Work], n.Own))
		case quarantine.ClearedNews:
			lines = append(lines, fmt.Sprintf("cleared %s own=%v held=%v lost=%v", p.names[n.Work], n.Own, n.Held, n.Lost))
		}
	}
	return lines
}
