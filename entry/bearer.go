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

// ErrCredentialsRequired is what a call with a missing or wrong token is refused
// with. It says nothing about which of the two.
var ErrCredentialsRequired = errors.New("entry: credentials required")

const bearerPrefix = "Bearer "

// bearerInterceptor puts a token on outgoing calls.
type bearerInterceptor struct{ token string }

// newBearerInterceptor returns an interceptor for clients that puts a token on every call.
func newBearerInterceptor(token string) connect.Interceptor { return &bearerInterceptor{token: token} }

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

// bearerToken returns the token of an Authorization header.
func bearerToken(header string) string {
	token, _ := strings.CutPrefix(header, bearerPrefix)
	return token
}

// operatorByToken returns the name of the operator whose token it is. Operators
// are kept as SHA-256 in hexadecimal, by name.
func operatorByToken(operators map[string]string, token string) (string, bool) {
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
