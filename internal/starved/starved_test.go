package starved

import "testing"

func TestCountNeverServed(t *testing.T) {
	served, unserved := Demand{Requests: 10, Served: 9, Span: 9}, Demand{Requests: 10, Span: 9}
	for _, tt := range []struct {
		name           string
		list           []Demand
		servedShare    float64
		never, counted int
		exceeded       bool
	}{
		{"all served", []Demand{served, served}, 0.9, 0, 2, false},
		{"two never served", []Demand{served, unserved, unserved}, 0.9, 2, 3, false},
		{"three never served", []Demand{served, unserved, unserved, unserved}, 0.9, 3, 4, true},
		{"three never served, within chance", []Demand{served, unserved, unserved, unserved}, 0.2, 3, 4, false},
		{"too few requests", []Demand{{Requests: 3, Span: 9}, {Requests: 3, Span: 9}, {Requests: 3, Span: 9}}, 0.9, 0, 0, false},
		{"too short a span", []Demand{{Requests: 9, Span: 7}, {Requests: 9, Span: 7}, {Requests: 9, Span: 7}}, 0.9, 0, 0, false},
	} {
		never, counted, limit := CountNeverServed(tt.list, tt.servedShare)
		if got := float64(never) > limit; never != tt.never || counted != tt.counted || got != tt.exceeded {
			t.Errorf("%s: got %d of %d never served with limit %v, want %d of %d, limit exceeded %v", tt.name, never, counted, limit, tt.never, tt.counted, tt.exceeded)
		}
	}
}
