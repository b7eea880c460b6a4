package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream, in bytes. The sheets' events are
// under 400; a larger one than this is no event.
const maxEventBytes = 256 << 10

// Errors of reading a stream of events.
var (
	errEventTooLong = errors.New("relay: an event is too long")
	errPartialEvent = errors.New("relay: the stream ends inside an event")
)

// event is one whole event of a stream, with the empty line that ends it.
type event struct {
	raw []byte
	// id is the event's id, and number its value; hasEventNumber tells that it has one.
	id        string
	number    int64
	hasNumber bool
}

// eventReader splits a stream into whole events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBuffer)}
}

// next returns the next event. At the end of the stream it returns io.EOF if
// no event has begun, and else errPartialEvent.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.readLine(&ev)
		if err != nil {
			if errors.Is(err, io.EOF) && len(ev.raw) > 0 {
				return event{}, errPartialEvent
			}
			return event{}, err
		}
		if len(line) == 0 {
			return ev, nil
		}
		ev.parseLine(line)
	}
}

// readLine reads one line into the event, and returns it without its end.
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
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(ev.raw[start:], "\r\n"), nil
	}
}

// parseLine takes the event's id from one of its lines.
func (ev *event) parseLine(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	ev.id = string(bytes.TrimPrefix(value, []byte(" ")))
	n, err := strconv.ParseInt(ev.id, 10, 64)
	ev.number, ev.hasNumber = n, err == nil
}
