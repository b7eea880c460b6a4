package core

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// ErrInvalidKeyHash is returned for a text that is not the hexadecimal hash of a key.
var ErrInvalidKeyHash = errors.New("core: key hash is not 64 hexadecimal digits")

// KeyHash is the SHA-256 of a client account's access key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which the configuration stores a client account's access key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler. The text is hexadecimal.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(h) {
		return errors.Wrapf(ErrInvalidKeyHash, "%q", text)
	}
	copy(h[:], raw)
	return nil
}
