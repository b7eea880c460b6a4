package core

import (
	"encoding/json"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

func marshalProto(m proto.Message) (json.RawMessage, error) {
	return protojson.Marshal(m)
}

func unmarshalProto(data json.RawMessage, m proto.Message) error {
	return protojson.Unmarshal(data, m)
}

func marshalProtos[T proto.Message](messages []T) ([]json.RawMessage, error) {
	out := make([]json.RawMessage, 0, len(messages))
	for _, m := range messages {
		raw, err := marshalProto(m)
		if err != nil {
			return nil, err
		}
		out = append(out, raw)
	}
	return out, nil
}
