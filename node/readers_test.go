package node

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/wire"
)

// If data centres have too few nodes each, one node reads the store for all data centres; in
// larger systems, each data centre has its own reader.
func TestReadingGroup(t *testing.T) {
	tests := []struct {
		name        string
		here, there int
		want        int
	}{
		{"three data centres of two", 1, 4, 5},
		{"three data centres of three", 2, 6, 8},
		{"enough nodes here", 4, 8, 4},
		{"too many in the other data centre", 2, 40, 2},
		{"alone", 0, 0, 0},
	}
	for _, tt := range tests {
		var others []*wire.Member
		for i := range tt.here + tt.there {
			centre := "here"
			if i >= tt.here {
				centre = "there"
			}
			others = append(others, &wire.Member{Name: fmt.Sprint(i), DataCentre: centre})
		}
		if got := len(readingGroup(others, "here")); got != tt.want {
			t.Errorf("%s: got %d nodes, want %d", tt.name, got, tt.want)
		}
	}
}
