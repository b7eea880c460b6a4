// Package tablestore is a client of the platform's table service, object store
// and list of VMs. It reports the results of calls and leaves decisions to package
// core.
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

	"github.com/hoistjunction/hoistjunction/internal/httpanswer"
)

// Errors that callers match with errors.Is.
var (
	// ErrNoResponse means that a call got no usable response. A write may have
	// taken effect, or may still do so.
	ErrNoResponse = errors.New("tablestore: no response")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("tablestore: not found")
	// ErrUnchanged means that the list of VMs has not changed since the given
	// version.
	ErrUnchanged = errors.New("tablestore: unchanged")

	errResponseTooLong = errors.New("tablestore: response is too long")
)

// DefaultTimeout is the default timeout of a call.
const DefaultTimeout = 2 * time.Second

// maxIdleConnections bounds the idle connections that are kept for reuse.
const maxIdleConnections = 8

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// Client calls the platform's HTTP interface. It is safe for concurrent use.
type Client struct {
	base      string
	http      *http.Client
	transport *http.Transport
	timeout   time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of each call.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithDialer sets the function that opens connections to the platform.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.transport.DialContext = dial }
}

// NewClient returns a client of the platform at an address: an IP address and
// port.
func NewClient(address string, opts ...Option) *Client {
	c := &Client{
		base: "http://" + address, timeout: DefaultTimeout,
		transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.http = &http.Client{Transport: httpanswer.NewTransport(c.transport)}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Commit commits a transaction. A transaction that the platform rejects is not an
// error.
func (c *Client) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	var result TxnResult
	body, err := json.Marshal(txn)
	if err != nil {
		return result, errors.Wrap(err, "tablestore: encode transaction")
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

// Scan reads the rows with keys between after and to, both exclusive.
func (c *Client) Scan(ctx context.Context, after, to string) ([]Row, error) {
	var rows []Row
	query := url.Values{"after": {after}, "to": {to}}
	err := c.call(ctx, http.MethodGet, "/table/scan?"+query.Encode(), nil, &rows)
	return rows, err
}

// Object reads an object from the object store.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := c.call(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil, &data)
	return data, err
}

// PutObject writes an object to the object store.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.call(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), data, nil)
}

// VMs reads the list of VMs. It returns ErrUnchanged if the list is still at the
// version since.
func (c *Client) VMs(ctx context.Context, since uint64) (VMList, error) {
	var list VMList
	err := c.call(ctx, http.MethodGet, "/vms?since="+strconv.FormatUint(since, 10), nil, &list)
	return list, err
}

// call sends one request. It decodes the JSON response into the value that into
// points to; a *[]byte gets the body unchanged.
func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "tablestore: create request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// All connections may become unresponsive at once. Closing the idle ones
		// keeps the next call from failing on another of them.
		c.http.CloseIdleConnections()
		return errors.Mark(errors.Wrap(err, "tablestore: send request"), ErrNoResponse)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = errResponseTooLong
	}
	if err != nil {
		return errors.Mark(errors.Wrap(err, "tablestore: read response"), ErrNoResponse)
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
		return errors.Mark(errors.Wrap(err, "tablestore: decode response"), ErrNoResponse)
	}
	return nil
}
