package admission

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// DefaultHysteresis is by how much the pressure must fall below a threshold until requests with that
// threshold are admitted again.
// It exceeds the random variation of the pressure within the age of a report.
const DefaultHysteresis = 0.06

// Controller holds the pressure of the services of one node. It is not safe for concurrent use.
type Controller struct {
	hysteresis float64
	services   map[string]*service
}

// Option configures a Controller.
type Option func(*Controller)

// WithHysteresis sets by how much the pressure must fall below a threshold until requests with that
// threshold are admitted again.
func WithHysteresis(h float64) Option { return func(c *Controller) { c.hysteresis = h } }

// New returns a controller that holds nothing back.
func New(opts ...Option) *Controller {
	c := &Controller{hysteresis: DefaultHysteresis, services: make(map[string]*service)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// SetPriorities sets the priorities that the requests of each service may have. A service with
// fewer than two is not controlled. Of the services in observed, the pressure is computed in any
// case; their requests are held back only if they differ in priority. The observations of services
// that stay are kept.
func (c *Controller) SetPriorities(byService map[string][]int, observed ...string) {
	former := c.services
	c.services = make(map[string]*service)
	keep := func(name string, b bands) {
		s := former[name]
		if s == nil {
			s = &service{}
		}
		s.bands = b
		c.services[name] = s
	}
	for _, name := range observed {
		keep(name, bands{})
	}
	for name, priorities := range byService {
		if b := newBands(priorities); b.differ() {
			keep(name, b)
		}
	}
}

// Services returns the names of the controlled and the observed services in order.
func (c *Controller) Services() []string { return slices.Sorted(maps.Keys(c.services)) }

// Observe records the load of a service. A load without a use or without a recent report of
// another node ends the series of observations.
func (c *Controller) Observe(now clock.Millis, name string, load Load) {
	s := c.services[name]
	if s == nil {
		return
	}
	use, ok := load.Use()
	if !ok || now > load.NewestReport.Add(maxSilence) {
		s.reset()
		return
	}
	s.newestReport, s.oldestReport = load.NewestReport, load.OldestReport
	s.observe(now, observation{use: use, capacity: load.capacity(), streams: load.streams()}, c.hysteresis)
}

// Contention returns the use of a service that is under contention: its pressure is or was recently
// above 0, and the reports behind it are recent.
func (c *Controller) Contention(now clock.Millis, name string) (use float64, ok bool) {
	s := c.services[name]
	if s == nil || !s.active(now) || !s.pressed || now > s.pressedAt.Add(contentionTime) {
		return 0, false
	}
	return s.pressure.last.use, true
}

// Admit decides whether a new request of a priority proceeds. The draw of the request, from 0 up to
// 1, must be uniformly distributed over requests and stay the same for one request, so that a
// request that was admitted once is admitted again at the same pressure.
func (c *Controller) Admit(now clock.Millis, name string, priority int, draw float64) Decision {
	d := Decision{Admitted: true, Priority: priority}
	s := c.services[name]
	if s == nil || !s.active(now) {
		return d
	}
	threshold, ok := s.bands.threshold(priority, draw)
	if !ok {
		return d
	}
	d.Use, d.Pressure, d.Level, d.Threshold = s.pressure.last.use, s.pressure.value, s.level, threshold
	d.Age = clock.AgeOf(s.oldestReport, now)
	// A level of 0 holds nothing back, not even a request whose threshold is 0.
	d.Admitted = s.level == 0 || s.level < threshold
	if !d.Admitted {
		d.Wait = s.pressure.timeToFall(max(threshold-c.hysteresis, threshold/2))
	}
	return d
}
