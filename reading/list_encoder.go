package reading

import (
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/wire"
)

// listEncoder encodes full lists, and keeps the last one: all nodes that start together request the
// same list, and the time to encode it grows with the number of upstreams. It is safe for concurrent
// use.
type listEncoder struct {
	mu      sync.Mutex
	token   uint64
	encoded protoreflect.RawFields
}

// encode returns the field changes of an AwaitFleetResponse with the full list that a token
// identifies.
func (e *listEncoder) encode(token uint64, list []fleet.Change) (protoreflect.RawFields, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.encoded != nil && e.token == token {
		return e.encoded, nil
	}
	encoded, err := proto.Marshal(&wire.AwaitFleetResponse{Changes: changeMessages(list)})
	if err != nil {
		return nil, errors.Wrap(err, "reading: encode list of upstreams")
	}
	e.token, e.encoded = token, encoded
	return encoded, nil
}

// changeMessages returns the messages of changes.
func changeMessages(changes []fleet.Change) []*wire.ListedChange {
	messages := make([]*wire.ListedChange, 0, len(changes))
	for _, c := range changes {
		messages = append(messages, fleetwire.Change(c))
	}
	return messages
}
