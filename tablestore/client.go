// Package tablestore speaks to the platform's table service, object store and
// list of VMs. It says what has been asked for and what came of it, and
// nothing about what that means: the core decides.
package tablestore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that callers test for with errors.Is.
var (
	// ErrNoResponse means that a call brought no answer. A write may have taken
	// effect, or may yet.
	ErrNoResponse = errors.New("tablestore: no answer")
	// ErrNotFound means that there is no such row or object.
	ErrNotFound = errors.New("tablestore: not found")
	// ErrUnchanged means that the list of VMs is still the one known.
	ErrUnchanged = errors.New("tablestore: unchanged")
)

// DefaultTimeout bounds each call.
const DefaultTimeout = 2 * time.Second

// maxIdleConnections is how many connections are kept that are not in use.
const maxIdleConnections = 8

// maxResponseBytes bounds what is read of an answer, in bytes.
const maxResponseBytes = 64 << 20

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	base      string
	http      *http.Client
	transport *http.Transport
	timeout   time.Duration
}

// Option sets up a Client.
type Option func(*Client)

// WithTimeout bounds each call.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithDialer sets how the platform is connected to.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.transport.DialContext = dial }
}

// NewClient returns a client of the platform at an address, an IP number and
// port.
func NewClient(address string, opts ...Option) *Client {
	c := &Client{
		base: "http://" + address, timeout: DefaultTimeout,
		transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.http = &http.Client{Transport: c.transport}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Commit runs a transaction.
func (c *Client) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	var result TxnResult
	body, err := json.Marshal(txn)
	if err != nil {
		return result, errors.Wrap(err, "tablestore: transaction")
	}
	err = c.call(ctx, http.MethodPost, "/table/txn", body, &result)
	return result, err
}

// Row reads one row.
func (c *Client) Row(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.call(ctx, http.MethodGet, "/table/row?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// Scan reads the rows after one key and before another.
func (c *Client) Scan(ctx context.Context, after, to string) ([]Row, error) {
	var rows []Row
	query := url.Values{"after": {after}, "to": {to}}
	err := c.call(ctx, http.MethodGet, "/table/scan?"+query.Encode(), nil, &rows)
	return rows, err
}

// Object reads an object.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := c.call(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil, &data)
	return data, err
}

// PutObject writes an object.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.call(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), data, nil)
}

// VMs reads the list of VMs, if it has changed since a version.
func (c *Client) VMs(ctx context.Context, since uint64) (VMList, error) {
	var list VMList
	err := c.call(ctx, http.MethodGet, "/vms?since="+strconv.FormatUint(since, 10), nil, &list)
	return list, err
}

// call makes one call. Into is filled from JSON, or with the bytes as they are
// where it is a *[]byte.
func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "tablestore: request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// Connections may go silent for good, all at once: the next call must not be
		// lost on another one that was kept.
		c.http.CloseIdleConnections()
		return errors.Mark(errors.Wrap(err, "tablestore"), ErrNoResponse)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "tablestore"), ErrNoResponse)
	}
	return decodeResponse(resp.StatusCode, data, into)
}

func decodeResponse(status int, data []byte, into any) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusNotModified:
		return ErrUnchanged
	case status >= http.StatusMultipleChoices:
		return errors.Wrapf(ErrNoResponse, "status %d", status)
	case into == nil:
		return nil
	}
	if raw, ok := into.(*[]byte); ok {
		*raw = data
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Mark(errors.Wrap(err, "tablestore: answer"), ErrNoResponse)
	}
	return nil
}
