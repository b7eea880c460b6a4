package catalog_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/moment"
)

func TestSupersedes(t *testing.T) {
	edition := func(version uint64, text string, era, revision uint64) catalog.Edition {
		return catalog.NewEdition(version, []byte(text), moment.At(era, revision))
	}
	tests := []struct {
		name   string
		e, o   catalog.Edition
		want   bool
		isSame bool
	}{
		{"a later version", edition(56, "b", 1, 20), edition(50, "a", 1, 10), true, false},
		{"a later version with a lower revision, after a return", edition(56, "b", 2, 8), edition(50, "a", 1, 10), true, false},
		{"what a copy shows", edition(50, "a", 2, 8), edition(56, "b", 1, 20), false, false},
		{"the same written again", edition(56, "b", 2, 9), edition(56, "b", 1, 20), false, true},
		{"another text of that version, later", edition(56, "c", 2, 9), edition(56, "b", 1, 20), true, false},
		{"another text of that version, told late", edition(56, "b", 1, 20), edition(56, "c", 2, 9), false, false},
		{"any against none", edition(3, "a", 0, 1), catalog.Edition{}, true, false},
		{"none against any", catalog.Edition{}, edition(3, "a", 0, 1), false, false},
	}
	for _, tt := range tests {
		if got := tt.e.Supersedes(tt.o); got != tt.want {
			t.Errorf("%s: got supersedes=%v, want %v", tt.name, got, tt.want)
		}
		if got := tt.e.SameText(tt.o); got != tt.isSame {
			t.Errorf("%s: got same=%v, want %v", tt.name, got, tt.isSame)
		}
	}
}
