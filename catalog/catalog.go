// Package catalog holds the operator's configuration in the form that
// decisions need: routes by host and path, services, client accounts by key.
//
// A Catalog does not change once it is built. A newer version is a new
// Catalog.
//
//	c := catalog.New(7, catalog.WithRoutes(routes...), catalog.WithAccounts(accounts...))
//	route, err := c.Route("ficu95.example", "/lohu930/2f")
package catalog

import (
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/moment"
)

// Errors that callers test for with errors.Is.
var (
	// ErrNoRoute means that no route matches a request's host and path.
	ErrNoRoute = errors.New("catalog: no such route")
	// ErrNoAccount means that no client account holds a key.
	ErrNoAccount = errors.New("catalog: no such key")
)

// Catalog is one version of the configuration.
type Catalog struct {
	edition  Edition
	hosts    map[string]*host
	services map[string]*Service
	accounts map[string]Account
	// hasAccounts tells that there are client accounts, with keys or without.
	hasAccounts bool
	limits      Limits
}

// Option sets up a Catalog.
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

// WithAccount adds a client account with its keys.
func WithAccount(a Account, keys ...string) Option {
	return func(c *Catalog) {
		c.hasAccounts = true
		for _, key := range keys {
			c.accounts[key] = a
		}
	}
}

// WithSource sets the text that the configuration was read from, and when the store was told
// it.
func WithSource(text []byte, written moment.Moment) Option {
	return func(c *Catalog) { c.edition = NewEdition(c.edition.version, text, written) }
}

// WithLimits sets what callers may send.
func WithLimits(l Limits) Option { return func(c *Catalog) { c.limits = l } }

// New builds a version of the configuration.
func New(version uint64, opts ...Option) *Catalog {
	c := &Catalog{
		edition:  Edition{version: version},
		hosts:    make(map[string]*host),
		services: make(map[string]*Service),
		accounts: make(map[string]Account),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Edition names this configuration, and puts it in order with others.
func (c *Catalog) Edition() Edition { return c.edition }

// Limits returns what callers may send.
func (c *Catalog) Limits() Limits { return c.limits }

// Service returns a service by name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// EachService calls f for each service, in no order.
func (c *Catalog) EachService(f func(*Service)) {
	for _, s := range c.services {
		f(s)
	}
}

// Account returns the client account that holds a key, or ErrNoAccount.
func (c *Catalog) Account(key string) (Account, error) {
	a, ok := c.accounts[key]
	if !ok {
		return Account{}, ErrNoAccount
	}
	return a, nil
}

// HasAccounts tells whether requests must carry a key at all. They must also
// where every key has been taken away.
func (c *Catalog) HasAccounts() bool { return c.hasAccounts }

// Route returns the route with the longest prefix of a path under a host, or
// ErrNoRoute. Prefixes end at a slash, so only whole segments match.
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

// host holds the routes of one host name by their prefix.
type host struct {
	routes map[string]*Route
}
