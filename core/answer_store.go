package core

// DefaultAnswerBytes bounds the answers that are kept for callers that ask again
// with the same key, in bytes.
const DefaultAnswerBytes = 32 << 20

// answerStore keeps the answers of ended requests that have a key, oldest
// first, up to a number of bytes. What it drops is remembered as having run,
// by the ledger; only its text is gone.
type answerStore struct {
	records  []*keyRecord
	bytes    int
	maxBytes int
}

func (s *answerStore) put(k *keyRecord) (dropped []*keyRecord) {
	s.records = append(s.records, k)
	s.bytes += k.request.size()
	for s.bytes > s.maxBytes && len(s.records) > 1 {
		oldest := s.records[0]
		s.records = s.records[1:]
		s.bytes -= oldest.request.size()
		dropped = append(dropped, oldest)
	}
	return dropped
}

// requestOverhead is about what a request takes in memory beside its texts.
const requestOverhead = 512

// size is about what a request takes in memory.
func (r *request) size() int {
	n := requestOverhead + len(r.final.Body) + len(r.spec.Prompt) + len(r.spec.Body)
	for _, t := range r.texts {
		n += len(t) + 16
	}
	return n
}
