package standin

import (
	"net"

	"github.com/hoistjunction/hoistjunction/lab"
)

// NodePlace is where a node of a deployment stands. Its ports are at its address.
type NodePlace struct {
	Name, Centre, IP                 string
	Front, Readiness, Peers, Metrics string
}

// At is an address of the node by its port.
func (p NodePlace) At(port string) string { return net.JoinHostPort(p.IP, port) }

// What the platform sets for all nodes of the deployments.
const (
	graceSeconds  = 8
	keysMS        = 5000
	configMS      = 2000
	leavingMS     = 2000
	msInSecond    = 1000
	anyPort       = "0"
	coresOfANode  = 1
	shareOfACore  = 0.4
	linkMbps      = 1000.0
	keysMustAgree = true
)

// NodeFields are what the platform fills a node's settings from, under the names that its pages
// have for them.
func NodeFields(p NodePlace, s *lab.Scenario, store string, seeds []string) Fields {
	return Fields{
		"nodeName": p.Name, "zone": p.Centre, "ip": p.IP, "bootstrap": true, "seeds": seeds,
		"portRange": []string{p.Metrics, anyPort},
		"listen":    Fields{"front": p.At(p.Front), "readiness": p.At(p.Readiness), "control": p.At(p.Peers)},
		"limits":    Fields{"cores": coresOfANode, "cpuShare": shareOfACore, "linkMbps": linkMbps, "memoryMb": s.Deployment.NodeMemoryMB},
		"platform":  Fields{"address": store},
		"bounds": Fields{
			"graceS": graceSeconds, "revokeFailClosed": keysMustAgree, "revokeMs": keysMS, "configApplyMs": configMS, "drainMs": leavingMS,
			"budgetWindowS": float64(s.Nodes.RetryWindowMS) / msInSecond, "retryBudgetRatio": s.Nodes.RetryShare, "budgetSlack": s.Nodes.RetrySlack,
		},
	}
}
