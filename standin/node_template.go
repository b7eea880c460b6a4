package standin

import (
	"net"

	"github.com/hoistjunction/hoistjunction/lab"
)

// NodeAddresses holds the name, data centre and IP address of a node in a
// deployment, and its ports.
type NodeAddresses struct {
	Name, Centre, IP                 string
	Front, Readiness, Peers, Metrics string
}

// HostPort returns the node's address with the given port.
func (n NodeAddresses) HostPort(port string) string { return net.JoinHostPort(n.IP, port) }

// Settings that the platform gives to all nodes of a deployment.
const (
	shutdownGraceSeconds = 8
	keyRevocationMS      = 5000
	configApplyMS        = 2000
	drainMS              = 2000
	msPerSecond          = 1000
	anyPort              = "0"
	nodeCores            = 1
	cpuShare             = 0.4
	linkMbps             = 1000.0
	revokeFailClosed     = true
)

// NodeFields returns the template fields of a node's settings, with the field
// names of the platform's API.
func NodeFields(n NodeAddresses, s *lab.Scenario, store string, seeds []string) TemplateFields {
	return TemplateFields{
		"nodeName": n.Name, "zone": n.Centre, "ip": n.IP, "bootstrap": true, "seeds": seeds,
		"portRange": []string{n.Metrics, anyPort},
		"listen":    TemplateFields{"front": n.HostPort(n.Front), "readiness": n.HostPort(n.Readiness), "control": n.HostPort(n.Peers)},
		"limits":    TemplateFields{"cores": nodeCores, "cpuShare": cpuShare, "linkMbps": linkMbps, "memoryMb": s.Deployment.NodeMemoryMB},
		"platform":  TemplateFields{"address": store},
		"bounds": TemplateFields{
			"graceS": shutdownGraceSeconds, "revokeFailClosed": revokeFailClosed, "revokeMs": keyRevocationMS, "configApplyMs": configApplyMS, "drainMs": drainMS,
			"budgetWindowS": float64(s.Nodes.RetryWindowMS) / msPerSecond, "retryBudgetRatio": s.Nodes.RetryShare, "budgetSlack": s.Nodes.RetrySlack,
		},
	}
}
