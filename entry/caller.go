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
	"github.com/hoistjunction/hoistjunction/logging"
)

// maxServiceResponseBytes bounds a plain service's answer, in bytes.
const maxServiceResponseBytes = 4 << 20

// serviceCaller carries requests to plain services.
//
// net/http sends a request again by itself when a reused connection breaks
// and the request looks as if that did no harm. For a marked request it must
// not look so: it is a POST, it has no GetBody to rewind with, and its key
// travels under a name that net/http does not know.
type serviceCaller struct {
	keepAliveClient *http.Client
	// singleUseClient makes a connection for each call. Every attempt after the first goes out
	// on one: connections may go silent for good, all at once, and the caller's time
	// does not last for one after the other.
	singleUseClient *http.Client
	log             *logging.Log
	post            func(core.Msg)
	wg              sync.WaitGroup
	ctx             context.Context
	stop            context.CancelFunc
}

// serviceOption sets up a serviceCaller.
type serviceOption func(*http.Transport)

// withServiceDialer sets how services are connected to.
func withServiceDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) serviceOption {
	return func(t *http.Transport) { t.DialContext = dial }
}

func newServiceCaller(log *logging.Log, tell func(core.Msg), opts ...serviceOption) *serviceCaller {
	c := &serviceCaller{log: log, post: tell}
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	for _, opt := range opts {
		opt(transport)
	}
	c.keepAliveClient = withoutRedirects(transport)
	single := transport.Clone()
	single.DisableKeepAlives = true
	c.singleUseClient = withoutRedirects(single)
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

func withoutRedirects(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// firstAttempt is the number of a request's first attempt.
const firstAttempt = 1

// clientFor returns what an attempt is made with.
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

// attempt makes one attempt. It says "not sent" only when there never was a
// connection for the request.
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
