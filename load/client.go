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

// ErrCut means that an answer ended without its final word.
var ErrCut = errors.New("load: cut answer")

// Answer is what one try brought.
type Answer struct {
	Outcome    outcome.Outcome
	Reason     string
	RetryAfter time.Duration
	Texts      []string
	Body       []byte
	// First and Gaps are the time to the first token from the start of the
	// try, and the times between tokens.
	First time.Duration
	Gaps  []time.Duration
}

// Client sends requests to an entry node as a caller would.
type Client struct {
	http *http.Client
}

// NewClient returns a client that may have many requests under way.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send makes one try of an item at a node.
func (c *Client) Send(ctx context.Context, node, key string, item Item, try int) (Answer, error) {
	req, err := request(ctx, node, item)
	if err != nil {
		return Answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(callkey.Try, strconv.Itoa(try))
	if item.Key != "" {
		req.Header.Set(callkey.IdempotencyKey, item.Key)
	}
	req.GetBody = nil
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, errors.Mark(err, ErrCut)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		return readStream(resp.Body, start)
	}
	return readWhole(resp, start)
}

func request(ctx context.Context, node string, item Item) (*http.Request, error) {
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

func readWhole(resp *http.Response, start time.Time) (Answer, error) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, errors.Mark(err, ErrCut)
	}
	o, err := outcome.Parse(resp.Header.Get(callkey.Outcome))
	if err != nil {
		return Answer{}, errors.Mark(err, ErrCut)
	}
	ms, _ := strconv.ParseInt(resp.Header.Get(callkey.RetryAfter), 10, 64)
	return Answer{
		Outcome: o, Reason: resp.Header.Get(callkey.Reason), Body: body,
		RetryAfter: time.Duration(ms) * time.Millisecond, First: time.Since(start),
	}, nil
}

// event is what the events of a stream hold: a piece, or the final word.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Tokens       int    `json:"tokens"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// readStream reads server-sent events up to the final word. Without one the
// answer was cut.
func readStream(body io.Reader, start time.Time) (Answer, error) {
	var a Answer
	last := start
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return a, errors.Mark(err, ErrCut)
		}
		if e.Outcome != "" {
			return finish(a, e)
		}
		now := time.Now()
		if len(a.Texts) == 0 {
			a.First = now.Sub(start)
		} else {
			a.Gaps = append(a.Gaps, now.Sub(last))
		}
		last = now
		a.Texts = append(a.Texts, e.Choices[0].Text)
	}
	return a, ErrCut
}

func finish(a Answer, e event) (Answer, error) {
	o, err := outcome.Parse(e.Outcome)
	if err != nil || e.Tokens != len(a.Texts) {
		return a, ErrCut
	}
	a.Outcome = o
	a.Reason = e.Reason
	a.RetryAfter = time.Duration(e.RetryAfterMS) * time.Millisecond
	return a, nil
}

// Tickets asks a node for tickets.
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
	var answer struct {
		Tickets []string `json:"tickets"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, err
	}
	return answer.Tickets, nil
}
