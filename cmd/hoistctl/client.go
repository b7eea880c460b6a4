package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
)

// authorized puts the operator's token on every call.
type authorized struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (a *authorized) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+a.token)
	return a.next.RoundTrip(r)
}

func httpClient(ca string) (client *http.Client, scheme string, err error) {
	if ca == "" {
		return &http.Client{Transport: &http.Transport{}}, "http://", nil
	}
	text, err := os.ReadFile(ca)
	if err != nil {
		return nil, "", errors.Newf("cannot read the authority from %s", ca)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, "", errors.Newf("no certificate in %s", ca)
	}
	t := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return &http.Client{Transport: t}, "https://", nil
}
