package httpanswer

import (
	"bytes"
	"regexp"

	"github.com/cockroachdb/errors"
)

// ErrBrokenHead means that the head of an answer is not well-formed.
var ErrBrokenHead = errors.New("httpanswer: head of the answer is not well-formed")

// statusLine matches a status line of HTTP/1. Statuses are those of RFC 9110, section 15.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9]( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)

// interimPrefix begins the status line of an interim answer, behind the version.
const interimPrefix = '1'

// fieldNameChars are the characters of a field's name (RFC 9110, section 5.6.2).
const fieldNameChars = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// statusIndex is the index of the status in a status line.
const statusIndex = len("HTTP/1.1 ")

// head checks the head of an answer, and those of the interim answers before it, line by line. The zero value
// is ready for an answer.
type head struct {
	// line is the part of the current line that has been read.
	line []byte
	// inFields reports that the status line has been read, and interim that it is one of an interim answer.
	inFields, interim bool
	// ended reports that the whole head has been read.
	ended bool
}

// check checks further bytes of an answer. With an error, it returns how many bytes come up to the end of the
// broken line: without the end of the head, they are no answer.
func (h *head) check(data []byte) (int, error) {
	for n := 0; !h.ended && n < len(data); {
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			h.line = append(h.line, data[n:]...)
			break
		}
		h.line = append(h.line, data[n:n+end]...)
		n += end + 1
		if err := h.endLine(); err != nil {
			return n, err
		}
	}
	return len(data), nil
}

// endLine checks a line that has been read to its end.
func (h *head) endLine() error {
	line := bytes.TrimSuffix(h.line, []byte("\r"))
	h.line = h.line[:0]
	switch {
	case !h.inFields:
		if !statusLine.Match(line) {
			return errors.Wrapf(ErrBrokenHead, "status line %.80q", line)
		}
		h.inFields, h.interim = true, line[statusIndex] == interimPrefix
	case len(line) == 0:
		h.inFields, h.ended = false, !h.interim
		h.line = nil
	case !isField(line):
		return errors.Wrapf(ErrBrokenHead, "field %.80q", line)
	}
	return nil
}

// isField reports whether a line is a field with a valid name. net/http checks values, but accepts names with
// blanks, and joins a line that begins with one to the line before.
func isField(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	return found && len(name) > 0 && len(bytes.Trim(name, fieldNameChars)) == 0
}
