package httpanswer

import "net/http"

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// unknownLength is the length of a request's body that is sent in chunks.
const unknownLength = -1

// requestMeter follows the bytes of a request that are written to a connection.
type requestMeter struct {
	// headEndSeen is the number of bytes of headEnd that were written last, until the head has ended.
	headEndSeen int
	// bodyLeft is the number of bytes of the body that are not written yet; negative if it is not known.
	bodyLeft int64
}

// newRequestMeter returns a meter for a request whose body has a length.
func newRequestMeter(length int64) requestMeter { return requestMeter{bodyLeft: length} }

// bodyLength returns the length in bytes of the body of a request, or unknownLength.
func bodyLength(req *http.Request) int64 {
	if req.Body == nil || req.Body == http.NoBody {
		return 0
	}
	if req.ContentLength == 0 {
		return unknownLength
	}
	return req.ContentLength
}

// count counts bytes that were written.
func (m *requestMeter) count(data []byte) {
	for m.headEndSeen < len(headEnd) && len(data) > 0 {
		switch data[0] {
		case headEnd[m.headEndSeen]:
			m.headEndSeen++
		case headEnd[0]:
			m.headEndSeen = 1
		default:
			m.headEndSeen = 0
		}
		data = data[1:]
	}
	if m.bodyLeft > 0 {
		m.bodyLeft -= int64(len(data))
	}
}

// hasLength reports whether the length of the body is known.
func (m *requestMeter) hasLength() bool { return m.bodyLeft >= 0 }

// whole reports whether the whole request has been written, as far as its length is known.
func (m *requestMeter) whole() bool { return m.headEndSeen == len(headEnd) && m.bodyLeft == 0 }
