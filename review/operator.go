//go:build review

package main

import "encoding/json"

// The operator's configuration, with the fields of the pages.
type (
	config struct {
		Version  int             `json:"version"`
		Routes   []route         `json:"routes"`
		Services []serviceConfig `json:"services"`
		Limits   limits          `json:"limits"`
		Tenants  []tenantConfig  `json:"tenants"`
	}
	route struct {
		Name            string `json:"name"`
		Host            string `json:"host"`
		PathPrefix      string `json:"pathPrefix"`
		Kind            string `json:"kind"`
		TimeoutMs       int    `json:"timeoutMs"`
		TargetLatencyMs int    `json:"targetLatencyMs"`
		Priority        int    `json:"priority"`
		Service         string `json:"service"`
		MaxAttempts     int    `json:"maxAttempts"`
		Anonymous       bool   `json:"anonymous"`
	}
	serviceConfig struct {
		Name           string `json:"name"`
		HealthPath     string `json:"healthPath"`
		MaxConnections int    `json:"maxConnections"`
		Protocol       string `json:"protocol"`
		TLS            bool   `json:"tls"`
	}
	limits struct {
		MaxHeaderBytes  int `json:"maxHeaderBytes"`
		MaxBodyBytes    int `json:"maxBodyBytes"`
		HeaderTimeoutMs int `json:"headerTimeoutMs"`
		IdleTimeoutMs   int `json:"idleTimeoutMs"`
	}
	tenantConfig struct {
		Name     string   `json:"name"`
		APIKeys  []string `json:"apiKeys"`
		Priority int      `json:"priority"`
	}
)

// putConfig writes a version of the configuration with the keys of the tenant. The
// return is the store's acknowledgement.
func (b *bed) putConfig(version int, keys ...string) {
	raw, err := json.Marshal(config{
		Version: version,
		Routes: []route{
			{Name: "r-stock", Host: host, PathPrefix: safePath, Kind: "safe", TimeoutMs: 800, TargetLatencyMs: 100, Priority: 2, Service: service, MaxAttempts: 2},
			{Name: "r-pickup", Host: host, PathPrefix: unsafePath, Kind: "unsafe", TimeoutMs: 800, TargetLatencyMs: 100, Priority: 2, Service: service, MaxAttempts: 1},
		},
		Services: []serviceConfig{{Name: service, HealthPath: "/health", MaxConnections: 49, Protocol: "h1"}},
		Limits:   limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants:  []tenantConfig{{Name: tenant, APIKeys: keys, Priority: 1}},
	})
	if err != nil {
		panic(err)
	}
	b.store.Put("op", "config", raw)
	b.record("config_acknowledged version=%d keys=%v", version, keys)
}
