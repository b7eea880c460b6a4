package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/callkey"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// ErrTruncated means that a response ended without an outcome.
var ErrTruncated = errors.New("load: response truncated")

// Response is the result of one attempt.
type Response struct {
	Outcome    outcome.Outcome
	Reason     string
	RetryAfter time.Duration
	Texts      []string
	Body       []byte
	// FirstToken is the time from the start of the attempt to the first token, or to the
	// end of a response that is not a stream. TokenGaps are the times between tokens.
	FirstToken time.Duration
	TokenGaps  []time.Duration
}

// Client sends a caller's requests to entry nodes over HTTP.
type Client struct {
	http *http.Client
}

// NewClient returns a Client that keeps up to 1024 idle connections per node.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends an item to a node once. Attempt counts from 1.
func (c *Client) Send(ctx context.Context, node, key string, item Item, attempt int) (Response, error) {
	req, err := newRequest(ctx, node, item)
	if err != nil {
		return Response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(callkey.Try, strconv.Itoa(attempt))
	if item.Key != "" {
		req.Header.Set(callkey.IdempotencyKey, item.Key)
	}
	req.GetBody = nil
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, errors.Mark(err, ErrTruncated)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		return readStream(resp.Body, start)
	}
	return readBody(resp, start)
}

func newRequest(ctx context.Context, node string, item Item) (*http.Request, error) {
	path, body := "/v1/services/"+item.Route+item.Path, []byte(item.Body)
	if item.Service == "" {
		path = "/v1/completions"
		raw, err := json.Marshal(map[string]any{
			"model": item.Route, "prompt": item.Prompt, "max_tokens": item.MaxTokens, "stream": true,
		})
		if err != nil {
			return nil, err
		}
		body = raw
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, bytes.NewReader(body))
}

func readBody(resp *http.Response, start time.Time) (Response, error) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, errors.Mark(err, ErrTruncated)
	}
	o, err := outcome.Parse(resp.Header.Get(callkey.Outcome))
	if err != nil {
		return Response{}, errors.Mark(err, ErrTruncated)
	}
	ms, _ := strconv.ParseInt(resp.Header.Get(callkey.RetryAfter), 10, 64)
	return Response{
		Outcome: o, Reason: resp.Header.Get(callkey.Reason), Body: body,
		RetryAfter: time.Duration(ms) * time.Millisecond, FirstToken: time.Since(start),
	}, nil
}

// streamEvent is the data of a server-sent event: a token, or the outcome of the request.
type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Tokens       int    `json:"tokens"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// readStream reads server-sent events up to the outcome event. It returns
// ErrTruncated if the stream ends without one.
func readStream(body io.Reader, start time.Time) (Response, error) {
	var a Response
	last := start
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return a, errors.Mark(err, ErrTruncated)
		}
		if e.Outcome != "" {
			return applyOutcome(a, e)
		}
		now := time.Now()
		if len(a.Texts) == 0 {
			a.FirstToken = now.Sub(start)
		} else {
			a.TokenGaps = append(a.TokenGaps, now.Sub(last))
		}
		last = now
		a.Texts = append(a.Texts, e.Choices[0].Text)
	}
	return a, ErrTruncated
}

func applyOutcome(a Response, e streamEvent) (Response, error) {
	o, err := outcome.Parse(e.Outcome)
	if err != nil || e.Tokens != len(a.Texts) {
		return a, ErrTruncated
	}
	a.Outcome = o
	a.Reason = e.Reason
	a.RetryAfter = time.Duration(e.RetryAfterMS) * time.Millisecond
	return a, nil
}

// Tickets requests n tickets from a node. A ticket serves as an idempotency key.
func (c *Client) Tickets(ctx context.Context, node, key string, n int) ([]string, error) {
	url := "http://" + node + "/v1/tickets?count=" + strconv.Itoa(n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var reply struct {
		Tickets []string `json:"tickets"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return nil, err
	}
	return reply.Tickets, nil
}
