package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// ErrNoCredentials is what a call with a missing or wrong token is refused
// with. It says nothing about which of the two.
var ErrNoCredentials = errors.New("entry: credentials required")

const bearerPrefix = "Bearer "

// bearerInterceptor puts a token on outgoing calls.
type bearerInterceptor struct{ token string }

// bearer returns an interceptor for clients that puts a token on every call.
func bearer(token string) connect.Interceptor { return &bearerInterceptor{token: token} }

// WrapUnary implements connect.Interceptor.
func (b *bearerInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		req.Header().Set("Authorization", bearerPrefix+b.token)
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (b *bearerInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set("Authorization", bearerPrefix+b.token)
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (b *bearerInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// tokenOf returns the token of an Authorization header.
func tokenOf(header string) string {
	token, _ := strings.CutPrefix(header, bearerPrefix)
	return token
}

// operatorOf returns the name of the operator whose token it is. Operators
// are kept as SHA-256 in hexadecimal, by name.
func operatorOf(operators map[string]string, token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	given := []byte(hex.EncodeToString(sum[:]))
	found, ok := "", false
	for name, hash := range operators {
		if subtle.ConstantTimeCompare(given, []byte(strings.ToLower(hash))) == 1 {
			found, ok = name, true
		}
	}
	return found, ok
}
