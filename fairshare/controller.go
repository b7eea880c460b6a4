package fairshare

import "github.com/hoistjunction/hoistjunction/clock"

// maxSummaryAccounts bounds the accounts of a service in its Summary.
const maxSummaryAccounts = 10

// Controller holds the shares of the client accounts in the services of one node. It is not safe for
// concurrent use.
type Controller struct {
	summaryAccounts int
	services        map[string]*service
}

// Option configures a Controller.
type Option func(*Controller)

// WithSummaryAccounts sets the number of accounts of a service in its Summary.
func WithSummaryAccounts(n int) Option { return func(c *Controller) { c.summaryAccounts = n } }

// New returns a controller that holds nothing back.
func New(opts ...Option) *Controller {
	c := &Controller{summaryAccounts: maxSummaryAccounts, services: make(map[string]*service)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Observe records the use of a service that is under contention. A load without uses or without a
// recent report of another node counts as the end of the contention.
func (c *Controller) Observe(now clock.Millis, name string, load Load) {
	if !(load.Use > 0) || len(load.ByAccount) == 0 || now > load.NewestReport.Add(maxSilence) {
		c.EndContention(now, name)
		return
	}
	s := c.services[name]
	if s == nil {
		s = newService()
		c.services[name] = s
	}
	s.observe(now, load)
}

// EndContention records that a service has capacity or that its use is unknown. Nothing is held back
// from then on.
func (c *Controller) EndContention(now clock.Millis, name string) {
	s := c.services[name]
	if s == nil {
		return
	}
	s.contended = false
	if now > s.observedAt.Add(accountRetention) {
		delete(c.services, name)
	}
}

// Admit decides whether a new request proceeds.
func (c *Controller) Admit(now clock.Millis, name string, r Request) Decision {
	d := Decision{Admitted: true, Account: r.Account}
	s := c.services[name]
	if s == nil || !s.active(now) {
		return d
	}
	a := s.accounts[r.Account]
	if a == nil {
		return d
	}
	d.Admitted = a.admits(now, r)
	d.Use, d.Share, d.Age = a.use, s.share, clock.AgeOf(s.oldestReport, now)
	if !d.Admitted {
		d.Wait, d.NextIn, d.Interval = a.timeToFall(s.share), a.timeToAccrue(), a.interval(r.Amount)
	}
	return d
}

// RecordSent records that a new request was sent to engines. An admitted request that finds no
// capacity is not sent, and is decided on again.
func (c *Controller) RecordSent(name string, r Request) {
	if s := c.services[name]; s != nil && s.accounts[r.Account] != nil {
		s.accounts[r.Account].sent(r.Amount)
	}
}
