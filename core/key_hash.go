package core

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// ErrInvalidKeyHash means that a text is not a key's hash.
var ErrInvalidKeyHash = errors.New("core: not the hash of a key")

// KeyHash is the SHA-256 of a client account's key.
type KeyHash [sha256.Size]byte

// HashKey returns what the configuration holds of a client account's key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler, in hexadecimal.
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
