package standin

import (
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
)

// The services, routes and sizes of the stand-in site.
const (
	SiteHost          = "site.example"
	SiteStreamService = "writer"
	SitePlainService  = "desk"
	SiteLayers        = 12
	SiteAccount       = "clinic"
	// SiteAccelerator is the only kind of accelerator; eight layers fit on it.
	SiteAccelerator = "small"
)

// SiteConfig returns the operator's configuration of the stand-in site: a
// route to a pipeline of engines, and two to a plain service, one of whose
// requests may be repeated.
func SiteConfig(version uint64, keys ...string) []byte {
	const (
		streamTimeout = 20000
		plainTimeout  = 3000
		bodyBytes     = 1 << 20
	)
	config := &platformpb.Config{
		Version: version,
		Routes: []*platformpb.Route{
			{
				Name: "write", Host: SiteHost, PathPrefix: "/write/", Kind: "streaming", TimeoutMs: streamTimeout,
				TargetLatencyMs: 500, Service: SiteStreamService, MaxAttempts: 3, StreamResume: true, Affinity: true,
			},
			{
				Name: "once", Host: SiteHost, PathPrefix: "/once/", Kind: "unsafe", TimeoutMs: plainTimeout,
				TargetLatencyMs: 100, Service: SitePlainService, MaxAttempts: 1,
			},
			{
				Name: "read", Host: SiteHost, PathPrefix: "/read/", Kind: "safe", TimeoutMs: plainTimeout,
				TargetLatencyMs: 100, Service: SitePlainService, MaxAttempts: 2,
			},
		},
		Services: []*platformpb.Service{{Name: SiteStreamService, HealthPath: "/health", Engine: siteEngine()}, {Name: SitePlainService, HealthPath: "/health"}},
		Limits:   &platformpb.Limits{MaxBodyBytes: bodyBytes},
		Tenants:  []*platformpb.Tenant{{Name: SiteAccount, ApiKeys: keys}},
	}
	raw, err := protojson.Marshal(config)
	if err != nil {
		// The message above is fixed; it marshals or the tests never pass.
		panic(err)
	}
	return raw
}

func siteEngine() *platformpb.Engine {
	return &platformpb.Engine{
		Slots: 64, KvTokenBytes: 12_000, StepMs: 1, ReadPerSecond: 250_000, Layers: SiteLayers, LayerMb: 100,
		Models: []*platformpb.ModelOption{{Name: "m", LoadSeconds: 1}},
		Kinds:  []*platformpb.Kind{{Name: SiteAccelerator, Mb: 800, StepFactor: 1, ReadFactor: 1}},
	}
}
