package core

// DefaultAnswerBytes is the default bound on the memory for answers that are kept for client
// retries with the same key.
const DefaultAnswerBytes = 32 << 20

// answerStore keeps the answers of ended requests that have a key, oldest first, up to a number of
// bytes. After an answer is evicted, the ledger still records that its key has begun; only the text
// is lost.
type answerStore struct {
	records  []*keyRecord
	bytes    int
	maxBytes int
}

func (s *answerStore) put(k *keyRecord) (evicted []*keyRecord) {
	s.records = append(s.records, k)
	s.bytes += k.request.size()
	for s.bytes > s.maxBytes && len(s.records) > 1 {
		oldest := s.records[0]
		s.records = s.records[1:]
		s.bytes -= oldest.request.size()
		evicted = append(evicted, oldest)
	}
	return evicted
}

// requestOverhead is the approximate memory that a request uses in addition to its texts, in bytes.
const requestOverhead = 512

// size returns the approximate memory that a request uses, in bytes.
func (r *request) size() int {
	n := requestOverhead + len(r.final.Body) + len(r.spec.Prompt) + len(r.spec.Body)
	for _, t := range r.texts {
		n += len(t) + 16
	}
	return n
}
