package standin

import (
	"net"

	"github.com/hoistjunction/hoistjunction/lab"
)

// NodeAddresses is where a node of a deployment stands. Its ports are at its address.
type NodeAddresses struct {
	Name, Centre, IP                 string
	Front, Readiness, Peers, Metrics string
}

// HostPort is an address of the node by its port.
func (p NodeAddresses) HostPort(port string) string { return net.JoinHostPort(p.IP, port) }

// What the platform sets for all nodes of the deployments.
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

// NodeFields are what the platform fills a node's settings from, under the names that its pages
// have for them.
func NodeFields(p NodeAddresses, s *lab.Scenario, store string, seeds []string) TemplateFields {
	return TemplateFields{
		"nodeName": p.Name, "zone": p.Centre, "ip": p.IP, "bootstrap": true, "seeds": seeds,
		"portRange": []string{p.Metrics, anyPort},
		"listen":    TemplateFields{"front": p.HostPort(p.Front), "readiness": p.HostPort(p.Readiness), "control": p.HostPort(p.Peers)},
		"limits":    TemplateFields{"cores": nodeCores, "cpuShare": cpuShare, "linkMbps": linkMbps, "memoryMb": s.Deployment.NodeMemoryMB},
		"platform":  TemplateFields{"address": store},
		"bounds": TemplateFields{
			"graceS": shutdownGraceSeconds, "revokeFailClosed": revokeFailClosed, "revokeMs": keyRevocationMS, "configApplyMs": configApplyMS, "drainMs": drainMS,
			"budgetWindowS": float64(s.Nodes.RetryWindowMS) / msPerSecond, "retryBudgetRatio": s.Nodes.RetryShare, "budgetSlack": s.Nodes.RetrySlack,
		},
	}
}
