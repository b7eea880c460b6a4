package rehearse

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/hoistjunction/hoistjunction/internal/process"
	"github.com/hoistjunction/hoistjunction/standin"
)

// relayNode is a relay node of the rehearsal.
type relayNode struct {
	*process.Process
	name, centre string
	// caller and readiness are its addresses.
	caller, readiness string
}

// Nodes stand in networks of loopback that differ between rehearsals at a time: a port that is
// found free for a node is taken by it only once all nodes are started.
const (
	firstNetwork = 16
	networks     = 200
)

// newPlace finds free ports at a node's address.
func newPlace(name, centre string, centreNumber, number int) (standin.NodeAddresses, error) {
	p := standin.NodeAddresses{Name: name, Centre: centre, IP: fmt.Sprintf("127.%d.%d.%d", firstNetwork+os.Getpid()%networks, centreNumber, number)}
	for _, port := range []*string{&p.Front, &p.Readiness, &p.Peers, &p.Metrics} {
		listener, err := net.Listen("tcp", p.HostPort("0"))
		if err != nil {
			return p, err
		}
		// Free again once all are known.
		defer func() { _ = listener.Close() }()
		*port = strconv.Itoa(listener.Addr().(*net.TCPAddr).Port)
	}
	return p, nil
}

// newNode writes a node's settings and builds its process, which is not started yet.
func newNode(d *Deployment, p standin.NodeAddresses, template string, seeds []string) (*relayNode, error) {
	text, err := standin.FillTemplate(template, standin.NodeFields(p, d.scenario, d.store.Address(), seeds))
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(d.options.logs, p.Name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	started, err := d.process(p.Name, "hoistrelay", "--settings", settings)
	if err != nil {
		return nil, err
	}
	return &relayNode{Process: started, name: p.Name, centre: p.Centre, caller: p.HostPort(p.Front), readiness: p.HostPort(p.Readiness)}, nil
}

const msPerSecond = 1000

// nodeMark is what a node's first line has before its address.
const nodeMark = " caller="
