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

// relayNode is the process of a relay node.
type relayNode struct {
	*process.Process
	name, dataCentre string
	// callerAddress and readinessAddress are the listen addresses for callers and for readiness
	// checks.
	callerAddress, readinessAddress string
}

// Each rehearsal uses its own loopback network, chosen by its process id. A free port is only
// taken when all nodes are started, so that rehearsals in the same network could take each
// other's ports.
const (
	firstLoopbackNet = 16
	loopbackNets     = 200
)

// newNodePlace finds free ports at the loopback address of a node.
func newNodePlace(name, dataCentre string, dataCentreNumber, number int) (standin.NodeAddresses, error) {
	p := standin.NodeAddresses{Name: name, Centre: dataCentre, IP: fmt.Sprintf("127.%d.%d.%d", firstLoopbackNet+os.Getpid()%loopbackNets, dataCentreNumber, number)}
	for _, port := range []*string{&p.Front, &p.Readiness, &p.Peers, &p.Metrics} {
		listener, err := net.Listen("tcp", p.HostPort("0"))
		if err != nil {
			return p, err
		}
		// The listeners stay open until all ports are found, so that the ports differ.
		defer func() { _ = listener.Close() }()
		*port = strconv.Itoa(listener.Addr().(*net.TCPAddr).Port)
	}
	return p, nil
}

// newNode writes the settings of a node and prepares its process, which is not started yet.
func newNode(d *Deployment, p standin.NodeAddresses, template string, seeds []string) (*relayNode, error) {
	text, err := standin.FillTemplate(template, standin.NodeFields(p, d.scenario, d.store.Address(), seeds))
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(d.options.logDir, p.Name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	process, err := d.newProcess(p.Name, "hoistrelay", "--settings", settings)
	if err != nil {
		return nil, err
	}
	return &relayNode{Process: process, name: p.Name, dataCentre: p.Centre, callerAddress: p.HostPort(p.Front), readinessAddress: p.HostPort(p.Readiness)}, nil
}

const msPerSecond = 1000

// nodeReadyText precedes the address in the line that a node prints when it is ready.
const nodeReadyText = " caller="
