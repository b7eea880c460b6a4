package record

import "testing"

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"at":1,"type":"TickMsg","msg":{}}`))
	f.Add([]byte(`{"at":1,"type":"ChangesMsg","msg":{"records":[{"version":"1"}]}}`))
	f.Add([]byte(`{"at":1,"type":"StepDoneMsg","msg":{"upstream":"a"}}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		if _, msg, err := decode(line); err == nil && msg == nil {
			t.Errorf("got neither a message nor an error from %q", line)
		}
	})
}
