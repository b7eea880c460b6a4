package node

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/internal/httpserver"
)

const (
	// readHeaderTimeout bounds the time for reading a request's header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long an idle client connection is kept. It must exceed the idle time
	// that the operator configures, after which clients do not use a connection again.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's header; the operator allows 16 KB.
	maxHeaderBytes = 32 << 10
)

// newServer returns a server over one of the node's listeners.
func newServer(l net.Listener, h http.Handler, log *zap.Logger) *httpserver.Server {
	return httpserver.New(l, &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(log),
	})
}
