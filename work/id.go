// Package work names what requests ask for. A caller's repeat, and a repeat of our own,
// have the same name as the first try; the id that a caller gives is that of one try.
package work

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
)

// size is the length of a name in bytes. Callers choose what is hashed, so it is a part of
// a cryptographic hash: two requests with the same name are the same.
const size = 16

// loggedBytes is how many bytes of a name stand in logs.
const loggedBytes = 8

// ID names what a request asks for, and for which client account. The zero value names
// nothing.
type ID [size]byte

// FromRequest names what a request asks for by its method, host, path, query and body. Headers
// are left out: those that say how long the caller waits differ between its tries.
func FromRequest(r *http.Request, body []byte) ID {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.URL.RequestURI()} {
		// Writing to a hash cannot fail. None of these has a zero byte.
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return ID(h.Sum(nil)[:size])
}

// ForAccount names what is asked for by a client account; empty where none is known.
func (id ID) ForAccount(account string) ID {
	sum := sha256.Sum256(append(id[:], account...))
	return ID(sum[:size])
}

// IsZero tells whether it names nothing.
func (id ID) IsZero() bool { return id == ID{} }

// String is what stands in logs: enough to tell requests apart.
func (id ID) String() string {
	if id.IsZero() {
		return ""
	}
	return hex.EncodeToString(id[:loggedBytes])
}

// Compare orders names.
func (id ID) Compare(o ID) int { return bytes.Compare(id[:], o[:]) }

// FromBytes is the reverse of Bytes; ok is false for what is no name.
func FromBytes(raw []byte) (id ID, ok bool) {
	if len(raw) != size {
		return ID{}, false
	}
	return ID(raw), true
}

// Bytes returns the whole name.
func (id ID) Bytes() []byte { return id[:] }
