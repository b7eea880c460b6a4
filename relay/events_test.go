package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func TestEventReader(t *testing.T) {
	tests := []struct {
		name, stream string
		raws         []string
		ids          []string
		err          error
	}{
		{"empty stream", "", nil, nil, io.EOF},
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, []string{"1", "2"}, io.EOF},
		{"id without a space", "id:12\n\n", []string{"id:12\n\n"}, []string{"12"}, io.EOF},
		{"carriage returns", "id: 3\r\ndata: c\r\n\r\n", []string{"id: 3\r\ndata: c\r\n\r\n"}, []string{"3"}, io.EOF},
		{"line before the id", "versions: 2\nid: 4\n\n", []string{"versions: 2\nid: 4\n\n"}, []string{"4"}, io.EOF},
		{"end inside an event", "id: 1\n\nid: 2\nda", []string{"id: 1\n\n"}, []string{"1"}, errPartialEvent},
		{"long line", "data: " + strings.Repeat("x", 3*readBuffer) + "\n\n", []string{"data: " + strings.Repeat("x", 3*readBuffer) + "\n\n"}, []string{""}, io.EOF},
		{"empty lines before an event", "\n\r\nid: 1\ndata: a\n\n", []string{"\n\r\nid: 1\ndata: a\n\n"}, []string{"1"}, io.EOF},
		{"comment before an event", ": x\n\nid: 1\n\n", []string{": x\n\nid: 1\n\n"}, []string{"1"}, io.EOF},
		{"comment in an event", "id: 1\n: x\n\n", []string{"id: 1\n: x\n\n"}, []string{"1"}, io.EOF},
		{"lines after the last event", "id: 1\n\n\n: x\n\n", []string{"id: 1\n\n"}, []string{"1"}, io.EOF},
		{"end inside the first line", "da", nil, nil, errPartialEvent},
		{"empty lines too long", strings.Repeat("\n", maxEventBytes+2), nil, nil, errEventTooLong},
		{"event too long", strings.Repeat("y", maxEventBytes+2), nil, nil, errEventTooLong},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newEventReader(strings.NewReader(tt.stream))
			for i, want := range tt.raws {
				ev, err := r.next()
				if err != nil {
					t.Fatal(err)
				}
				if got := string(ev.raw); got != want {
					t.Errorf("event %d: got %q, want %q", i, got, want)
				}
				if ev.id != tt.ids[i] {
					t.Errorf("event %d: got id %q, want %q", i, ev.id, tt.ids[i])
				}
			}
			if _, err := r.next(); !errors.Is(err, tt.err) {
				t.Errorf("got error %v at the end, want %v", err, tt.err)
			}
		})
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\n\n\r\n")
	f.Fuzz(func(t *testing.T, stream string) {
		r := newEventReader(strings.NewReader(stream))
		read := ""
		for {
			ev, err := r.next()
			read += string(ev.raw)
			if errors.Is(err, io.EOF) && read != stream {
				t.Errorf("got %q at the end, want %q", read, stream)
			}
			if err != nil {
				break
			}
		}
		if !strings.HasPrefix(stream, read) {
			t.Errorf("got %q, want a prefix of %q", read, stream)
		}
	})
}
