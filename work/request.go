package work

import "slices"

// Request identifies what a request consists of: its content, which its retries share, and the
// parts of its prompt that other requests may share.
type Request struct {
	// Content is zero if only parts are known.
	Content ID
	Parts   []ID
}

// Has reports whether an ID is one of the request's.
func (r Request) Has(id ID) bool {
	return r.Content == id || slices.Contains(r.Parts, id)
}

// AppendIDs appends the request's IDs to a list.
func (r Request) AppendIDs(list []ID) []ID {
	if !r.Content.IsZero() {
		list = append(list, r.Content)
	}
	return append(list, r.Parts...)
}

// RequestOf returns the request that only an ID is known of.
func RequestOf(id ID) Request {
	if id.IsPart() {
		return Request{Parts: []ID{id}}
	}
	return Request{Content: id}
}
