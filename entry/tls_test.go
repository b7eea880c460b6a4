package entry_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/hoistjunction/hoistjunction/entry"
	"github.com/hoistjunction/hoistjunction/operator"
	"github.com/hoistjunction/hoistjunction/testbed"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// writeCertificate writes a certificate for 127.0.0.1 that is its own
// authority, and its key.
func writeCertificate(t *testing.T, dir string, serial int64) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePEM(t, key, "PRIVATE KEY", raw)
	writePEM(t, cert, "CERTIFICATE", der)
	return cert, key
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestAllPortsOverTLS has two nodes agree on a configuration, and serve a
// caller, with every port encrypted.
func TestAllPortsOverTLS(t *testing.T) {
	dir := t.TempDir()
	cert, key := writeCertificate(t, dir, 1)
	token := filepath.Join(dir, "token")
	if err := os.WriteFile(token, []byte(testbed.OperatorToken), 0o600); err != nil {
		t.Fatal(err)
	}
	bed, err := testbed.Start(testbed.WithTLS(cert, key, cert))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Close)
	client, err := operator.NewClient(token, cert)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.HTTP().CloseIdleConnections)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	admin := wireconnect.NewAdminClient(client.HTTP(), client.URL(bed.Nodes[0].AdminAddress()))
	resp, err := admin.Propose(ctx, connect.NewRequest(&wire.ProposeRequest{ChangeId: "first", Changes: testbed.Changes()}))
	if err != nil || resp.Msg.GetState() != wire.ProposeState_PROPOSE_STATE_ACCEPTED {
		t.Fatalf("got %s (%v), want accepted: the peers must have spoken to each other", resp.Msg.GetState(), err)
	}
	ready, err := client.HTTP().Get(client.URL(bed.Nodes[0].CallerAddress()) + "/ready")
	if err != nil {
		t.Fatalf("got %v, want an answer on the callers' port", err)
	}
	_ = ready.Body.Close()
	if ready.StatusCode != http.StatusOK {
		t.Errorf("got %d, want %d", ready.StatusCode, http.StatusOK)
	}
}

// TestCertificateIsReadAgain replaces a certificate, and then breaks it: the
// one in use stays until there is a good one.
func TestCertificateIsReadAgain(t *testing.T) {
	dir := t.TempDir()
	cert, key := writeCertificate(t, dir, 1)
	files, err := entry.NewTLSFiles(cert, key, cert)
	if err != nil {
		t.Fatal(err)
	}
	writeCertificate(t, dir, 2)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(cert, later, later); err != nil {
		t.Fatal(err)
	}
	wantSerial(t, files, 2)
	if err := os.WriteFile(cert, []byte("not a certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	wantSerial(t, files, 2)
}

func wantSerial(t *testing.T, files *entry.TLSFiles, want int64) {
	t.Helper()
	c, err := files.ServerConfig().GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(c.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	if got := parsed.SerialNumber.Int64(); got != want {
		t.Errorf("got certificate %d, want %d", got, want)
	}
}
