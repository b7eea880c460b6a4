package starved

import "testing"

func TestNever(t *testing.T) {
	served, unserved := Asked{Count: 10, Served: 9, Span: 9}, Asked{Count: 10, Span: 9}
	for _, tt := range []struct {
		name         string
		list         []Asked
		part         float64
		never, often int
		broken       bool
	}{
		{"all served", []Asked{served, served}, 0.9, 0, 2, false},
		{"two never", []Asked{served, unserved, unserved}, 0.9, 2, 3, false},
		{"three never", []Asked{served, unserved, unserved, unserved}, 0.9, 3, 4, true},
		{"three never, by chance", []Asked{served, unserved, unserved, unserved}, 0.2, 3, 4, false},
		{"asked too seldom", []Asked{{Count: 3, Span: 9}, {Count: 3, Span: 9}, {Count: 3, Span: 9}}, 0.9, 0, 0, false},
		{"asked too briefly", []Asked{{Count: 9, Span: 7}, {Count: 9, Span: 7}, {Count: 9, Span: 7}}, 0.9, 0, 0, false},
	} {
		never, often, most := Never(tt.list, tt.part)
		if got := float64(never) > most; never != tt.never || often != tt.often || got != tt.broken {
			t.Errorf("%s: got %d of %d, %v at most, want %d of %d, broken %v", tt.name, never, often, most, tt.never, tt.often, tt.broken)
		}
	}
}
