// Package testbed runs stand-ins and entry nodes in one process, on loopback ports
// chosen by the kernel, for tests and measurements.
//
//	bed, err := testbed.Start(testbed.WithNodes(2))
//	defer bed.Close()
//	err = bed.Configure(testbed.Changes()...)
package testbed

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/entry"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/standin"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// ErrTestbed means that the testbed failed to start or to apply its configuration.
var ErrTestbed = errors.New("testbed")

// OperatorToken is the token of the operator that every node accepts.
const OperatorToken = "testbed-operator"

// peerSecret is the shared secret with which nodes authenticate to each other.
const peerSecret = "testbed-peers"

// startTimeout bounds the wait until all nodes have applied a configuration.
const startTimeout = 20 * time.Second

// Bed is a running testbed: a stand-in platform, upstreams and entry nodes.
type Bed struct {
	Platform *standin.Platform
	Engines  []*Engine
	Services []*Service
	Nodes    []*Node

	options      options
	platform     *server
	startedNodes int
}

// Start starts a testbed.
func Start(opts ...Option) (*Bed, error) {
	b := &Bed{Platform: standin.NewPlatform(), options: defaults()}
	for _, opt := range opts {
		opt(&b.options)
	}
	var err error
	if b.platform, err = serve(b.Platform.Handler()); err != nil {
		return nil, err
	}
	if err := b.startUpstreams(); err != nil {
		b.Close()
		return nil, err
	}
	for range b.options.nodes {
		if _, err := b.StartNode(); err != nil {
			b.Close()
			return nil, err
		}
	}
	return b, nil
}

func (b *Bed) startUpstreams() error {
	for _, stage := range b.options.stages {
		for i := range stage.Copies {
			e, err := startEngine(fmt.Sprintf("%s-%d", stage.Pool, i+1), stage, i)
			if err != nil {
				return err
			}
			b.Engines = append(b.Engines, e)
		}
	}
	for i := range b.options.services {
		s, err := startService(fmt.Sprintf("order-desk-%d", i+1), b.options.serviceTime)
		if err != nil {
			return err
		}
		b.Services = append(b.Services, s)
	}
	b.PublishUpstreams()
	return nil
}

// PublishUpstreams sets the platform's list of VMs to the current upstreams.
func (b *Bed) PublishUpstreams() {
	var list []pool.Listing
	for _, e := range b.Engines {
		list = append(list, e.listing())
	}
	for _, s := range b.Services {
		list = append(list, s.listing())
	}
	b.Platform.SetVMs(list)
}

// StartNode starts an additional entry node.
func (b *Bed) StartNode() (*Node, error) {
	b.startedNodes++
	c := entry.NewConfig()
	c.Name = fmt.Sprintf("entry-%d", b.startedNodes)
	c.DataCentre = fmt.Sprintf("dc-%d", b.startedNodes%3)
	c.PlatformAddress = b.platform.address
	c.PeerSecret = peerSecret
	c.Grace = b.options.grace
	c.Policy = b.options.policy
	c.Chooser = b.options.chooser
	c.RecordingCapacity = b.options.recording
	c.TLSCert, c.TLSKey, c.TLSCA = b.options.tls[0], b.options.tls[1], b.options.tls[2]
	for _, n := range b.Nodes {
		c.PeerSeeds = append(c.PeerSeeds, n.PeerAddress())
	}
	sum := sha256.Sum256([]byte(OperatorToken))
	c.OperatorHashes["tester"] = hex.EncodeToString(sum[:])
	inner, err := entry.NewNode(c, logging.Nop())
	if err != nil {
		return nil, errors.Mark(err, ErrTestbed)
	}
	n := startNode(inner)
	b.Nodes = append(b.Nodes, n)
	return n, nil
}

// Addresses returns the caller addresses of the running nodes.
func (b *Bed) Addresses() []string {
	var addresses []string
	for _, n := range b.Nodes {
		if !n.Stopped() {
			addresses = append(addresses, n.CallerAddress())
		}
	}
	return addresses
}

// Admin returns an operator's client for a node.
func (b *Bed) Admin(n *Node) wireconnect.AdminClient {
	return wireconnect.NewAdminClient(&http.Client{Transport: OperatorTransport{}}, "http://"+n.AdminAddress())
}

// Configure proposes changes and waits until they are active on every node.
func (b *Bed) Configure(changes ...*wire.Change) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	resp, err := b.Admin(b.Nodes[0]).Propose(ctx, connect.NewRequest(&wire.ProposeRequest{
		ChangeId: fmt.Sprintf("change-%d", time.Now().UnixNano()), Changes: changes,
	}))
	if err != nil {
		return errors.Mark(err, ErrTestbed)
	}
	for _, n := range b.Nodes {
		if err := b.awaitConfig(ctx, n, resp.Msg.GetVersion()); err != nil {
			return err
		}
	}
	return nil
}

// awaitConfig waits until a configuration version is active on a node and the node lists all upstreams.
func (b *Bed) awaitConfig(ctx context.Context, n *Node, version uint64) error {
	if n.Stopped() {
		return nil
	}
	upstreams := len(b.Engines) + len(b.Services)
	for {
		status, err := b.Admin(n).Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		if err == nil && status.Msg.GetNodes()[0].GetVersion() >= version && len(status.Msg.GetUpstreams()) >= upstreams {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrTestbed, "timed out waiting for configuration version %d to become active", version)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Close stops all nodes, upstreams and the platform.
func (b *Bed) Close() {
	for _, n := range b.Nodes {
		n.Kill()
	}
	for _, e := range b.Engines {
		e.Kill()
	}
	for _, s := range b.Services {
		s.server.close()
	}
	b.platform.close()
}

// PlatformAddress returns the address of the stand-in platform.
func (b *Bed) PlatformAddress() string { return b.platform.address }

// OperatorTransport sends requests with the operator's token. It opens a new connection
// for each request and leaves none open.
type OperatorTransport struct{}

// RoundTrip implements http.RoundTripper.
func (OperatorTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+OperatorToken)
	t := &http.Transport{DisableKeepAlives: true}
	return t.RoundTrip(r)
}
