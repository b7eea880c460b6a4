package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the size of one event of a stream, in bytes. Specified events are under
// 400 bytes; a larger event than the bound is an error.
const maxEventBytes = 256 << 10

// Errors of reading an event stream.
var (
	errEventTooLong = errors.New("relay: event exceeds the size limit")
	errPartialEvent = errors.New("relay: stream ends inside an event")
	errNoEvent      = errors.New("relay: connection ends before the first event of a stream")
)

// event is one complete event of a stream.
type event struct {
	raw []byte
	// raw is the event as received, including the empty line that ends it, and the empty lines and
	// comments before it. hasField reports whether it has a line that is neither. id is the event's
	// id, and number its numeric value; hasNumber reports whether the id is numeric.
	hasField  bool
	id        string
	number    int64
	hasNumber bool
}

// eventReader splits an event stream into complete events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBuffer)}
}

// next returns the next event. Empty lines and comments are no event; they are part of the next one,
// and so count toward its size and bring no progress. At the end of the stream next returns io.EOF and,
// as raw, the empty lines and comments after the last event; or errPartialEvent if the stream ends
// inside an event.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.readLine(&ev)
		if err != nil {
			if errors.Is(err, io.EOF) && (ev.hasField || len(line) > 0) {
				return event{}, errPartialEvent
			}
			return event{raw: ev.raw}, err
		}
		if len(line) == 0 && ev.hasField {
			return ev, nil
		}
		ev.parseLine(line)
	}
}

// readLine appends one line to the event and returns it without the line ending. At the end of the
// stream it also returns what there is of a last line.
func (e *eventReader) readLine(ev *event) ([]byte, error) {
	start := len(ev.raw)
	for {
		part, err := e.r.ReadSlice('\n')
		ev.raw = append(ev.raw, part...)
		if len(ev.raw) > maxEventBytes {
			return nil, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return bytes.TrimRight(ev.raw[start:], "\r\n"), err
	}
}

// parseLine records whether the line is a field, and sets the event's id if it is an id field.
func (ev *event) parseLine(line []byte) {
	ev.hasField = ev.hasField || len(line) > 0 && line[0] != ':'
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	ev.id = string(bytes.TrimPrefix(value, []byte(" ")))
	n, err := strconv.ParseInt(ev.id, 10, 64)
	ev.number, ev.hasNumber = n, err == nil
}
