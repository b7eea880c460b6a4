package standin

import (
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
)

// Names and sizes of the stand-in site, a small installation for tests.
const (
	SiteHost          = "site.example"
	SiteStreamService = "writer"
	SitePlainService  = "desk"
	SiteLayers        = 12
	SiteAccount       = "clinic"
	// SiteAccelerator is the only kind of accelerator. Its memory holds eight
	// layers.
	SiteAccelerator = "small"
)

// SiteConfig returns the operator's configuration of the stand-in site: a route
// to a pipeline of engines and two routes to a plain service. Only one of the
// latter allows repeated execution. KeyAccount tells whose keys they are.
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
		Tenants:  siteAccounts(keys),
	}
	raw, err := protojson.Marshal(config)
	if err != nil {
		// The message is constant except for the keys, so a failure is a
		// programming error.
		panic(err)
	}
	return raw
}

// KeyAccount returns the client account of a key, and its priority: "lab" and 1 for "lab.1". Any
// other key belongs to SiteAccount, whose requests have the priority of the routes, which is 0.
func KeyAccount(key string) (name string, priority float64) {
	name, text, _ := strings.Cut(key, ".")
	priority, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return SiteAccount, 0
	}
	return name, priority
}

func siteAccounts(keys []string) []*platformpb.Tenant {
	accounts := []*platformpb.Tenant{{Name: SiteAccount}}
	for _, key := range keys {
		if name, priority := KeyAccount(key); name != SiteAccount {
			accounts = append(accounts, &platformpb.Tenant{Name: name, ApiKeys: []string{key}, Priority: &priority})
			continue
		}
		accounts[0].ApiKeys = append(accounts[0].ApiKeys, key)
	}
	return accounts
}

func siteEngine() *platformpb.Engine {
	return &platformpb.Engine{
		Slots: 64, KvTokenBytes: 12_000, StepMs: 1, ReadPerSecond: 250_000, Layers: SiteLayers, LayerMb: 100,
		Models: []*platformpb.ModelOption{{Name: "m", LoadSeconds: 1}},
		Kinds:  []*platformpb.Kind{{Name: SiteAccelerator, Mb: 800, StepFactor: 1, ReadFactor: 1}},
	}
}
