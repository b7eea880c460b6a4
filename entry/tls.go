package entry

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTLS means that certificate files cannot be used.
var ErrTLS = errors.New("entry: tls")

// TLSFiles is a certificate with its key, and the authority that peers'
// certificates are checked against. The files are read again when they change.
type TLSFiles struct {
	certPath string
	keyPath  string
	caPath   string

	mu          sync.Mutex
	certModTime time.Time
	loaded      *tls.Certificate
}

// NewTLSFiles reads the files once, to find out early that they are wrong.
func NewTLSFiles(cert, key, ca string) (*TLSFiles, error) {
	f := &TLSFiles{certPath: cert, keyPath: key, caPath: ca}
	if _, err := f.certificate(); err != nil {
		return nil, err
	}
	if ca != "" {
		if _, err := f.caPool(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// ServerConfig returns the configuration of a listener.
func (f *TLSFiles) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.certificate() },
	}
}

// ClientConfig returns the configuration for calls to peers.
func (f *TLSFiles) ClientConfig() *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if pool, err := f.caPool(); err == nil {
		c.RootCAs = pool
	}
	return c
}

func (f *TLSFiles) caPool() (*x509.CertPool, error) {
	text, err := os.ReadFile(f.caPath)
	if err != nil {
		return nil, errors.Wrapf(ErrTLS, "cannot read the authority's file: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Wrapf(ErrTLS, "no certificate in %s", f.caPath)
	}
	return pool, nil
}

// certificate returns the certificate, read anew if its file is newer. A file
// that is being replaced and cannot be read leaves the one in use.
func (f *TLSFiles) certificate() (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	info, err := os.Stat(f.certPath)
	if f.loaded != nil && (err != nil || info.ModTime().Equal(f.certModTime)) {
		return f.loaded, nil
	}
	c, err := tls.LoadX509KeyPair(f.certPath, f.keyPath)
	if err != nil {
		if f.loaded != nil {
			return f.loaded, nil
		}
		return nil, errors.Wrapf(ErrTLS, "cannot use %s with %s: %v", f.certPath, f.keyPath, err)
	}
	f.loaded = &c
	if info != nil {
		f.certModTime = info.ModTime()
	}
	return f.loaded, nil
}
