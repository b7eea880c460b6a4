package entry

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// traceConnection returns a context that sets connected when a request made with it
// gets a connection. While connected is false, no part of the request can have reached
// the server.
func traceConnection(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
}
