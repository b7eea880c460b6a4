package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
)

// NewServer returns a server for a stand-in's handler that accepts HTTP/1.1 and
// HTTP/2 without encryption.
func NewServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: h, Protocols: protocols}
}

// Serve listens on address, prints a line with the actual address, and serves
// until the process receives SIGTERM or SIGINT.
func Serve(address string, h http.Handler, out io.Writer) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "listening %s\n", listener.Addr()); err != nil {
		return err
	}
	server := NewServer(h)
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
