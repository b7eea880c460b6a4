// Package work identifies requests by their content. The client's retries and this system's own
// retries have the same ID as the first attempt, whereas the request ID that a client sends
// identifies one attempt. Parts of prompts, which different requests share, have IDs too.
package work

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
)

// IDBytes is the length of an ID in bytes. Clients choose the hashed content, so an ID is a prefix
// of a cryptographic hash: two requests with the same ID have the same content.
const IDBytes = 16

// loggedBytes is how many bytes of an ID are logged.
const loggedBytes = 8

// ID identifies a request's content and its client account, or a part of a prompt. The zero value
// identifies nothing.
type ID [IDBytes]byte

// FromRequest returns the ID of a request's method, host, path, query and body, without a
// client account. Headers are left out, because timeout headers differ between the retries of a
// client.
func FromRequest(r *http.Request, body []byte) ID {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.URL.RequestURI()} {
		// Writing to a hash never fails. None of these parts contains a zero byte.
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return ID(h.Sum(nil)[:IDBytes])
}

// ForAccount returns the ID for a client account, which is empty if unknown.
func (id ID) ForAccount(account string) ID {
	sum := sha256.Sum256(append(id[:], account...))
	return ID(sum[:IDBytes])
}

// IsZero reports whether the ID is the zero value.
func (id ID) IsZero() bool { return id == ID{} }

// String returns the prefix that is logged, which suffices to distinguish requests.
func (id ID) String() string {
	if id.IsZero() {
		return ""
	}
	if id.IsPart() {
		return id.partString()
	}
	return hex.EncodeToString(id[:loggedBytes])
}

// Compare orders IDs.
func (id ID) Compare(o ID) int { return bytes.Compare(id[:], o[:]) }

// FromBytes is the inverse of Bytes. ok is false if raw has the wrong length.
func FromBytes(raw []byte) (id ID, ok bool) {
	if len(raw) != IDBytes {
		return ID{}, false
	}
	return ID(raw), true
}

// Bytes returns the complete ID.
func (id ID) Bytes() []byte { return id[:] }
