package standin

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/platform/platformpb"
)

// The names of a deployment's services and host.
const (
	DeploymentHost          = "deployment.example"
	DeploymentStreamService = "writer"
	DeploymentPlainService  = "desk"
)

// DeploymentKey is the key of a client account, by its number.
func DeploymentKey(account int) string { return fmt.Sprintf("key-%d", account) }

// DeploymentConfig returns the operator's configuration of a scenario: a route for each kind of
// request, the pipeline, the plain service, and the client accounts.
func DeploymentConfig(version uint64, s *lab.Scenario) ([]byte, error) {
	const bodyBytes = 1 << 20
	config := &platformpb.Config{
		Version: version, Limits: &platformpb.Limits{MaxBodyBytes: bodyBytes},
		Services: []*platformpb.Service{
			{Name: DeploymentStreamService, HealthPath: "/health", Engine: deploymentEngine(s)},
			{Name: DeploymentPlainService, HealthPath: "/health"},
		},
	}
	for _, k := range s.Deployment.RequestKinds {
		config.Routes = append(config.Routes, deploymentRoute(s, k))
	}
	for i := range s.Deployment.Accounts {
		config.Tenants = append(config.Tenants, &platformpb.Tenant{Name: fmt.Sprintf("account-%d", i), ApiKeys: []string{DeploymentKey(i)}})
	}
	return protojson.Marshal(config)
}

func deploymentRoute(s *lab.Scenario, k lab.RequestKind) *platformpb.Route {
	route := &platformpb.Route{
		Name: k.Name, Host: DeploymentHost, PathPrefix: "/" + k.Name + "/", TimeoutMs: float64(k.RouteTimeoutMS), TargetLatencyMs: float64(k.FirstEventTargetMS),
		GapAimMs: float64(k.EventGapTargetMS), Priority: float64(k.Priority), MaxAttempts: float64(s.Nodes.MaxAttempts), Service: DeploymentPlainService,
	}
	if k.RouteTimeoutMS == 0 {
		route.TimeoutMs = float64(k.DeadlineMS)
	}
	switch k.Mode {
	case lab.ModeStream:
		route.Kind, route.Service, route.StreamResume, route.Affinity = "streaming", DeploymentStreamService, true, true
	case lab.ModeOnce:
		route.Kind, route.MaxAttempts = "unsafe", 1
	case lab.ModeRead:
		route.Kind = "safe"
	}
	return route
}

func deploymentEngine(s *lab.Scenario) *platformpb.Engine {
	const perSecond = 1000
	p := s.Fleet.Pipeline()
	e := &platformpb.Engine{
		Slots: float64(s.Slots), KvTokenBytes: p.TokenBytes, StepMs: p.StepMS, PerSequenceMs: p.SequenceMS, ContextMsPerK: p.ContextMS,
		ReadPerSecond: p.ReadRate * perSecond, LoadsAtOnce: float64(s.FullSpeedLoads), Layers: float64(p.Layers), LayerMb: p.LayerMB,
		Stride: p.StepsPerPass, Chunk: p.PromptTokensPerPass, Usual: &platformpb.Usual{Prompt: p.MeanPromptTokens, Answer: p.MeanAnswerTokens},
		Models: []*platformpb.ModelOption{{Name: "m", LoadSeconds: p.LoadMS / perSecond}},
	}
	for name, a := range p.Accelerators {
		e.Kinds = append(e.Kinds, &platformpb.Kind{Name: name, Mb: a.MemoryMB, StepFactor: a.StepFactor, ReadFactor: a.ReadFactor})
	}
	return e
}
