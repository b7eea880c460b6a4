package testbed

import (
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/wire"
)

// AccountKey returns the key of a client account of the testbed.
func AccountKey(account string) string { return account + "-key" }

// Latency bounds of the testbed's routes, in milliseconds.
const (
	FirstTokenMS = 1200
	TokenMS      = 60
)

// Changes returns the changes that make up the first configuration: a pipeline
// route "notices", a service route "orders", and the given client accounts, or "clinic"
// if none are given. All accounts have equal weight.
func Changes(accounts ...string) []*wire.Change {
	return ChangesWithBounds(FirstTokenMS, TokenMS, accounts...)
}

// ChangesWithBounds is Changes with the given latency bounds, in milliseconds.
func ChangesWithBounds(first, token uint32, accounts ...string) []*wire.Change {
	if len(accounts) == 0 {
		accounts = []string{"clinic"}
	}
	changes := []*wire.Change{
		{Edit: &wire.Change_PutPipeline{PutPipeline: &wire.Pipeline{
			Name: "model", Model: "stand-in", Layers: Layers,
			Stages: []*wire.Stage{
				{Pool: "low", FirstLayer: 0, LastLayer: 3},
				{Pool: "middle", FirstLayer: 4, LastLayer: 7},
				{Pool: "high", FirstLayer: 8, LastLayer: 11},
			},
		}}},
		{Edit: &wire.Change_PutRoute{PutRoute: &wire.Route{
			Name: "notices", Pipeline: "model", FirstTokenMs: first, TokenMs: token, MaxTokens: 1024,
		}}},
		{Edit: &wire.Change_PutRoute{PutRoute: &wire.Route{Name: "orders", Service: "order-desk", FirstTokenMs: first}}},
	}
	for _, name := range accounts {
		changes = append(changes, &wire.Change{Edit: &wire.Change_PutAccount{PutAccount: Account(name)}})
	}
	return changes
}

// Account returns a client account whose key is AccountKey(name).
func Account(name string) *wire.ClientAccount {
	hash := core.HashKey(AccountKey(name))
	return &wire.ClientAccount{Name: name, KeyHash: hash[:], Weight: 1, Priority: 4}
}
