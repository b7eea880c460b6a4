package record

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/internal/fixedseed"
)

var decodeExamples = [][]byte{
	[]byte(`{"at":1,"type":"TickMsg","msg":{}}`),
	[]byte(`{"at":1,"type":"ChangesMsg","msg":{"records":[{"version":"1"}]}}`),
	[]byte(`{"at":1,"type":"StepDoneMsg","msg":{"upstream":"a"}}`),
}

func checkDecode(t *testing.T, line []byte) {
	if _, msg, err := decode(line); err == nil && msg == nil {
		t.Errorf("got neither a message nor an error from %q", line)
	}
}

func FuzzDecode(f *testing.F) {
	for _, e := range decodeExamples {
		f.Add(e)
	}
	f.Fuzz(checkDecode)
}

func TestDecodeWithMutatedInputs(t *testing.T) {
	fixedseed.Mutate(decodeExamples, func(input []byte) { checkDecode(t, input) })
}
