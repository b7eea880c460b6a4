package work

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"
)

// MaxParts bounds the parts of a prompt that are told apart. Prompts have a handful.
const MaxParts = 16

// A part's ID holds the number that names the part, and a tag in place of the rest of a hash. The
// number comes first, since digests and orders of IDs use the first bytes.
const (
	partNumberBytes = 8
	partPrefix      = "part:"
)

var (
	numberedPartTag = [IDBytes - partNumberBytes]byte{'p', 'a', 'r', 't', 'n', 'u', 'm', 0}
	namedPartTag    = [IDBytes - partNumberBytes]byte{'p', 'a', 'r', 't', 'n', 'a', 'm', 0}
)

// FromPart returns the ID of a part of a prompt, which requests with different content share.
// Names that are the same hexadecimal number give the same ID. Any other name is hashed.
func FromPart(name string) ID {
	var id ID
	number, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		sum := sha256.Sum256([]byte(strings.ToLower(name)))
		copy(id[:partNumberBytes], sum[:])
		copy(id[partNumberBytes:], namedPartTag[:])
		return id
	}
	binary.BigEndian.PutUint64(id[:partNumberBytes], number)
	copy(id[partNumberBytes:], numberedPartTag[:])
	return id
}

// IsPart reports whether the ID identifies a part of a prompt rather than a whole request.
func (id ID) IsPart() bool {
	tag := id[partNumberBytes:]
	return bytes.Equal(tag, numberedPartTag[:]) || bytes.Equal(tag, namedPartTag[:])
}

// partString returns the name of a part without leading zeros, as it is logged.
func (id ID) partString() string {
	number := binary.BigEndian.Uint64(id[:partNumberBytes])
	return partPrefix + strconv.FormatUint(number, 16)
}
