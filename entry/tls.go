package entry

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTLS means that the certificate files are missing or invalid.
var ErrTLS = errors.New("entry: tls")

// TLSFiles holds a certificate with its key, and the certificate authority for
// verifying peers. It reloads the certificate and key when the certificate file
// changes.
type TLSFiles struct {
	certPath string
	keyPath  string
	caPath   string

	mu          sync.Mutex
	certModTime time.Time
	loaded      *tls.Certificate
}

// NewTLSFiles loads the files once, so that an invalid file is detected at startup.
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

// ServerConfig returns the TLS configuration for listeners.
func (f *TLSFiles) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.certificate() },
	}
}

// ClientConfig returns the TLS configuration for connections to peers.
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
		return nil, errors.Wrapf(ErrTLS, "read the CA file: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Wrapf(ErrTLS, "no valid certificate in the CA file %s", f.caPath)
	}
	return pool, nil
}

// certificate returns the certificate, and reloads it if the modification time of its
// file has changed. While the files cannot be read, as during a replacement, it
// returns the previously loaded certificate.
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
		return nil, errors.Wrapf(ErrTLS, "load certificate %s with key %s: %v", f.certPath, f.keyPath, err)
	}
	f.loaded = &c
	if info != nil {
		f.certModTime = info.ModTime()
	}
	return f.loaded, nil
}
