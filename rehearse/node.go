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
	name, dataCentre string
	// callerAddress and readiness are its addresses.
	callerAddress, readinessAddress string
}

// Nodes stand in networks of loopback that differ between rehearsals at a time: a port that is
// found free for a node is taken by it only once all nodes are started.
const (
	firstLoopbackNet = 16
	loopbackNets     = 200
)

// newNodePlace finds free ports at a node's address.
func newNodePlace(name, centre string, centreNumber, number int) (standin.NodeAddresses, error) {
	p := standin.NodeAddresses{Name: name, Centre: centre, IP: fmt.Sprintf("127.%d.%d.%d", firstLoopbackNet+os.Getpid()%loopbackNets, centreNumber, number)}
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
	settings := filepath.Join(d.options.logDir, p.Name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	started, err := d.newProcess(p.Name, "hoistrelay", "--settings", settings)
	if err != nil {
		return nil, err
	}
	return &relayNode{Process: started, name: p.Name, dataCentre: p.Centre, callerAddress: p.HostPort(p.Front), readinessAddress: p.HostPort(p.Readiness)}, nil
}

const msPerSecond = 1000

// nodeReadyText is what a node's first line has before its address.
const nodeReadyText = " caller="
