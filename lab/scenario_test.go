package lab

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/settings"
	"github.com/hoistjunction/hoistjunction/sizing"
)

func TestFaultsAreRead(t *testing.T) {
	tests := []struct {
		text string
		want Fault
		bad  bool
	}{
		{"5.0 crash share=0.2 for=3", Fault{Kind: EngineCrash, At: 5000, Duration: 3000, Share: 0.2, Magnitude: 1}, false},
		{"1 limit x=0.5..4", Fault{Kind: EngineLimit, At: 1000, Duration: 5000, Share: 0.15, Magnitude: 0.5, MaxMagnitude: 4}, false},
		{"1 limit x=0.5..many", Fault{}, true},
		{"1 rest x=3 every=4 until=36", Fault{Kind: EngineBackOff, At: 1000, Duration: 5000, Share: 0.15, Magnitude: 3, Interval: 4000, Until: 36000}, false},
		{"1 crash share=7", Fault{Kind: EngineCrash, At: 1000, Duration: 5000, Share: 1, Magnitude: 1}, false},
		{"", Fault{}, true},
		{"crash 1", Fault{}, true},
		{"-1 crash", Fault{}, true},
		{"1 flood", Fault{}, true},
		{"1 crash share", Fault{}, true},
		{"1 crash share=-1", Fault{}, true},
		{"1 crash wide=2", Fault{}, true},
	}
	for _, tt := range tests {
		got, err := parseFault("", tt.text)
		if errors.Is(err, ErrScenario) != tt.bad || !tt.bad && got != tt.want {
			t.Errorf("%q: got %+v, %v, want %+v", tt.text, got, err, tt.want)
		}
	}
}

func TestScenariosAreChecked(t *testing.T) {
	good, err := os.ReadFile("../examples/lab/small.ini")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, more string
		want       error
	}{
		{"as it is", "", nil},
		{"an unknown key", "[nodes]\nmany = 3\n", settings.ErrSettings},
		{"an unknown section", "[extra]\na = 3\n", settings.ErrSettings},
		{"an unknown kind", "[faults]\nx = 1 flood\n", ErrScenario},
		{"an unknown accelerator", "[engines]\nnorth = none:3\n", sizing.ErrFleet},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s.ini")
			if err := os.WriteFile(path, append(good, tt.more...), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := LoadScenario(path); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

func TestWithoutNamesMechanisms(t *testing.T) {
	if _, err := Without("rest,nothing"); !errors.Is(err, ErrScenario) {
		t.Errorf("got %v, want %v", err, ErrScenario)
	}
	for _, name := range Mechanisms() {
		v, err := Without(name)
		if err != nil || v == (Variant{Name: v.Name}) {
			t.Errorf("%s: got %+v, %v, want something switched off", name, v, err)
		}
	}
}
