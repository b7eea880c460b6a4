// Package operator makes the HTTP clients with which operators' tools speak to
// entry nodes.
package operator

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrCredentials means that a token or an authority cannot be read.
var ErrCredentials = errors.New("operator: credentials")

// Client calls nodes as an operator.
type Client struct {
	http   *http.Client
	scheme string
}

// NewClient returns a client with the token that a file holds. With an
// authority's file the nodes' ports are spoken to over TLS, and else in clear.
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

// HTTP returns the client for calls to the URL that URL returns.
func (c *Client) HTTP() *http.Client { return c.http }

// URL returns the URL of a node's operators' port, given as ip:port.
func (c *Client) URL(node string) string { return c.scheme + node }

func readCAPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrapf(ErrCredentials, "cannot read the authority from %s", path)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Wrapf(ErrCredentials, "no certificate in %s", path)
	}
	return pool, nil
}

// bearerTransport puts the operator's token on every call.
type bearerTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (a *bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+a.token)
	return a.next.RoundTrip(r)
}
