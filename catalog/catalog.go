// Package catalog holds one version of the operator's configuration in memory: routes by host
// and path, services by name, client accounts by key.
//
// A Catalog is immutable. A newer version of the configuration is a new Catalog.
//
//	c := catalog.New(7, catalog.WithRoutes(routes...), catalog.WithAccount(account, keys...))
//	route, err := c.Route("ficu95.example", "/lohu930/2f")
package catalog

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/moment"
)

// Errors of the lookups.
var (
	// ErrNoRoute means that no route matches a request's host and path.
	ErrNoRoute = errors.New("catalog: no such route")
	// ErrNoAccount means that no client account has a key.
	ErrNoAccount = errors.New("catalog: no such key")
)

// Catalog is one version of the configuration.
type Catalog struct {
	edition  Edition
	hosts    map[string]*host
	services map[string]*Service
	accounts map[string]Account
	// hasAccounts is set if there are client accounts, even if they have no keys.
	hasAccounts bool
	limits      Limits
	// unservable holds the services that are left out because of their configuration.
	unservable map[string]error
}

// Option configures a Catalog.
type Option func(*Catalog)

// WithRoutes adds routes.
func WithRoutes(routes ...*Route) Option {
	return func(c *Catalog) {
		for _, r := range routes {
			c.addRoute(r)
		}
	}
}

// WithServices adds services.
func WithServices(services ...*Service) Option {
	return func(c *Catalog) {
		for _, s := range services {
			c.services[s.Name] = s
		}
	}
}

// WithUnservable records a service that is left out because of its configuration. Requests for it are refused.
func WithUnservable(service string, reason error) Option {
	return func(c *Catalog) { c.unservable[service] = reason }
}

// WithAccount adds a client account with its keys.
func WithAccount(a Account, keys ...string) Option {
	return func(c *Catalog) {
		c.hasAccounts = true
		for _, key := range keys {
			c.accounts[key] = a
		}
	}
}

// WithSource sets the text that the configuration was decoded from, and the moment of the store
// at which it was written.
func WithSource(text []byte, written moment.Moment) Option {
	return func(c *Catalog) { c.edition = NewEdition(c.edition.version, text, written) }
}

// WithLimits sets the bounds on callers' requests.
func WithLimits(l Limits) Option { return func(c *Catalog) { c.limits = l } }

// New returns a Catalog with the given version number.
func New(version uint64, opts ...Option) *Catalog {
	c := &Catalog{
		edition:    Edition{version: version},
		hosts:      make(map[string]*host),
		services:   make(map[string]*Service),
		accounts:   make(map[string]Account),
		unservable: make(map[string]error),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Edition returns the edition of the configuration, by which it is compared with others.
func (c *Catalog) Edition() Edition { return c.edition }

// Limits returns the bounds on callers' requests.
func (c *Catalog) Limits() Limits { return c.limits }

// Service returns a service by name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// EachService calls f for each service, in no particular order.
func (c *Catalog) EachService(f func(*Service)) {
	for _, s := range c.services {
		f(s)
	}
}

// EachUnservable calls f for each service that is left out because of its configuration, in no particular order.
func (c *Catalog) EachUnservable(f func(service string, reason error)) {
	for service, reason := range c.unservable {
		f(service, reason)
	}
}

// EachRoute calls f for each route, in no particular order.
func (c *Catalog) EachRoute(f func(*Route)) {
	for _, h := range c.hosts {
		for _, r := range h.routes {
			f(r)
		}
	}
}

// EachAccount calls f for each client account once for each of its keys, in no particular order.
func (c *Catalog) EachAccount(f func(Account)) {
	for _, a := range c.accounts {
		f(a)
	}
}

// Account returns the client account that has a key, or ErrNoAccount.
func (c *Catalog) Account(key string) (Account, error) {
	a, ok := c.accounts[key]
	if !ok {
		return Account{}, ErrNoAccount
	}
	return a, nil
}

// AccountNamed returns the client account with a name, or one that has only the name if no key belongs to
// it any more.
func (c *Catalog) AccountNamed(name string) Account {
	for _, a := range c.accounts {
		if a.Name == name {
			return a
		}
	}
	return Account{Name: name}
}

// Priorities returns the most and the least urgent priority of the requests of a service. The most
// urgent is the lowest number.
func (c *Catalog) Priorities(service string) (most, least int) {
	var all []int
	for _, h := range c.hosts {
		for _, r := range h.routes {
			if !slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service }) {
				continue
			}
			all = append(all, r.Priority)
			for _, a := range c.accounts {
				if a.HasPriority && !r.Anonymous {
					all = append(all, a.Priority)
				}
			}
		}
	}
	if len(all) == 0 {
		return 0, 0
	}
	return slices.Min(all), slices.Max(all)
}

// HasAccounts reports whether requests need a key on routes that are not anonymous. They also
// need one if all keys were revoked.
func (c *Catalog) HasAccounts() bool { return c.hasAccounts }

// Route returns the route with the longest prefix of a path under a host, or ErrNoRoute.
// Prefixes end at a slash, so only whole path segments match.
func (c *Catalog) Route(hostName, path string) (*Route, error) {
	h, ok := c.hosts[hostName]
	if !ok {
		return nil, ErrNoRoute
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r, ok := h.routes[path[:end]]; ok {
			return r, nil
		}
	}
	return nil, ErrNoRoute
}

func (c *Catalog) addRoute(r *Route) {
	h, ok := c.hosts[r.Host]
	if !ok {
		h = &host{routes: make(map[string]*Route)}
		c.hosts[r.Host] = h
	}
	h.routes[r.Prefix] = r
}

// host holds the routes of a host name by their prefix.
type host struct {
	routes map[string]*Route
}
