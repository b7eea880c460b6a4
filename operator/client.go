// Package operator provides the HTTP client that operators' tools use to call entry nodes.
package operator

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrCredentials means that the token or the CA certificate cannot be read.
var ErrCredentials = errors.New("operator: invalid credentials")

// Client calls nodes with an operator's credentials.
type Client struct {
	http   *http.Client
	scheme string
}

// NewClient returns a client that sends the token in tokenFile. If authorityFile is set, the
// client connects over TLS and trusts the CA certificates in that file; otherwise it uses plain
// HTTP.
func NewClient(tokenFile, authorityFile string) (*Client, error) {
	token, err := os.ReadFile(tokenFile)
	if err != nil {
		return nil, errors.Wrapf(ErrCredentials, "cannot read the token from %s", tokenFile)
	}
	c := &Client{scheme: "http://"}
	transport := &http.Transport{}
	if authorityFile != "" {
		pool, err := readCAPool(authorityFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
		c.scheme = "https://"
	}
	c.http = &http.Client{Transport: &bearerTransport{token: strings.TrimSpace(string(token)), next: transport}}
	return c, nil
}

// HTTP returns the HTTP client for requests to URLs that URL returns.
func (c *Client) HTTP() *http.Client { return c.http }

// URL returns the base URL of a node's operator port, given as ip:port.
func (c *Client) URL(node string) string { return c.scheme + node }

func readCAPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrapf(ErrCredentials, "cannot read the CA certificate from %s", path)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Wrapf(ErrCredentials, "no PEM certificate in %s", path)
	}
	return pool, nil
}

// bearerTransport adds the operator's token to every request.
type bearerTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.token)
	return t.next.RoundTrip(r)
}
