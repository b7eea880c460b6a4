package entry

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// traceConnection notes whether a request made with the context ever had a connection.
// While it had none, nothing of it can have reached the other end.
func traceConnection(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
}
