package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/callkey"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/internal/httpanswer"
	"github.com/hoistjunction/hoistjunction/logging"
)

// maxServiceResponseBytes bounds the body of a plain service's response.
const maxServiceResponseBytes = 4 << 20

// serviceCaller sends requests to plain services.
//
// net/http resends a request when a reused connection breaks and the request appears
// to be idempotent. A request marked as not to be repeated must not appear so: it is a
// POST, it has no GetBody to rewind the body with, and its key is in a header that
// net/http does not recognise.
type serviceCaller struct {
	keepAliveClient *http.Client
	// singleUseClient opens a connection for each call. Every attempt after the first
	// uses it: all pooled connections may become unresponsive at once, and the
	// deadline leaves no time to try them one by one.
	singleUseClient *http.Client
	log             *logging.Log
	post            func(core.Msg)
	wg              sync.WaitGroup
	ctx             context.Context
	stop            context.CancelFunc
}

// serviceOption configures the transport of a serviceCaller.
type serviceOption func(*http.Transport)

// withServiceDialer sets the dial function for connections to services.
func withServiceDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) serviceOption {
	return func(t *http.Transport) { t.DialContext = dial }
}

func newServiceCaller(log *logging.Log, post func(core.Msg), opts ...serviceOption) *serviceCaller {
	c := &serviceCaller{log: log, post: post}
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	for _, opt := range opts {
		opt(transport)
	}
	single := transport.Clone()
	single.DisableKeepAlives = true
	c.keepAliveClient, c.singleUseClient = withoutRedirects(transport), withoutRedirects(single)
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

func withoutRedirects(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     httpanswer.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// firstAttempt is the number of the first attempt of a request.
const firstAttempt = 1

// clientFor returns the HTTP client for an attempt.
func (c *serviceCaller) clientFor(cmd *core.CallCmd) *http.Client {
	if cmd.Attempt > firstAttempt {
		return c.singleUseClient
	}
	return c.keepAliveClient
}

func (c *serviceCaller) call(cmd *core.CallCmd) {
	c.wg.Go(func() { c.post(c.attempt(cmd)) })
}

func (c *serviceCaller) close() {
	c.stop()
	c.wg.Wait()
	c.keepAliveClient.CloseIdleConnections()
}

// attempt makes one attempt of a call. It sets NotSent in a failure only if the
// request never had a connection.
func (c *serviceCaller) attempt(cmd *core.CallCmd) core.Msg {
	var connected atomic.Bool
	ctx, cancel := context.WithTimeout(c.ctx, cmd.Timeout.Duration())
	defer cancel()
	req, err := newServiceRequest(traceConnection(ctx, &connected), cmd)
	if err != nil {
		return core.CallFailedMsg{Request: cmd.Request, Attempt: cmd.Attempt, NotSent: true}
	}
	resp, err := c.clientFor(cmd).Do(req)
	if err != nil {
		return c.callFailed(cmd, err, !connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceResponseBytes+1))
	if err != nil || len(body) > maxServiceResponseBytes {
		return c.callFailed(cmd, err, false)
	}
	return core.CallDoneMsg{
		Request: cmd.Request, Attempt: cmd.Attempt, Status: resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"), Body: body,
	}
}

func newServiceRequest(ctx context.Context, cmd *core.CallCmd) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cmd.Address+cmd.Path, bytes.NewReader(cmd.Body))
	if err != nil {
		return nil, err
	}
	if cmd.NoRepeat {
		req.GetBody = nil
	}
	if cmd.ContentType != "" {
		req.Header.Set("Content-Type", cmd.ContentType)
	}
	if cmd.Key != "" {
		req.Header.Set(callkey.Header, cmd.Key)
	}
	return req, nil
}

func (c *serviceCaller) callFailed(cmd *core.CallCmd, err error, notSent bool) core.Msg {
	c.log.Info("call_failed", zap.Uint64("request", cmd.Request), zap.String("upstream", cmd.Upstream),
		zap.Uint32("attempt", cmd.Attempt), zap.Bool("not_sent", notSent), zap.Error(err))
	return core.CallFailedMsg{Request: cmd.Request, Attempt: cmd.Attempt, NotSent: notSent}
}
