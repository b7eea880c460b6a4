package rehearse

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/internal/process"
	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/standin"
)

// ErrNotStarted means that a program of the rehearsal could not be started.
var ErrNotStarted = errors.New("rehearse: a program did not start")

// Deployment is the processes of a rehearsal.
type Deployment struct {
	scenario  *lab.Scenario
	options   options
	store     *process.Process
	upstreams *process.Process
	nodes     []*relayNode
	processes []*process.Process
}

// startDeployment starts the store, the upstreams and all nodes, these at once.
func startDeployment(s *lab.Scenario, o options) (*Deployment, error) {
	d := &Deployment{scenario: s, options: o}
	template, err := os.ReadFile(o.template)
	if err != nil {
		return d, errors.Wrap(err, "rehearse: template of settings")
	}
	if err := os.MkdirAll(o.logDir, 0o755); err != nil {
		return d, err
	}
	if d.store, err = d.startStandIn("store", "store"); err != nil {
		return d, err
	}
	if d.upstreams, err = d.startStandIn("upstreams", "upstreams", "--store", d.store.Address(), "--seed", fmt.Sprint(o.seed)); err != nil {
		return d, err
	}
	if err := d.prepareNodes(string(template)); err != nil {
		return d, err
	}
	return d, d.startNodes()
}

// newProcess builds a process of a program, which Close ends.
func (d *Deployment) newProcess(name, program string, args ...string) (*process.Process, error) {
	path := filepath.Join(d.options.binDir, program)
	if _, err := os.Stat(path); err != nil {
		return nil, errors.Wrapf(ErrNotStarted, "there is no %s; build the programs with make build, or name their folder with --bin", path)
	}
	log, err := os.Create(filepath.Join(d.options.logDir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := process.New(name, log, append([]string{path}, args...))
	d.processes = append(d.processes, p)
	return p, nil
}

// startStandIn starts a part of the outside world.
func (d *Deployment) startStandIn(name string, args ...string) (*process.Process, error) {
	p, err := d.newProcess(name, "standin-deployment", append(args, "--scenario", d.options.scenario)...)
	if err != nil {
		return nil, err
	}
	if err := p.Start("listening "); err != nil {
		return nil, errors.Mark(err, ErrNotStarted)
	}
	return p, nil
}

// prepareNodes gives each node its address and settings.
func (d *Deployment) prepareNodes(template string) error {
	var places []standin.NodeAddresses
	for c, centre := range d.scenario.Fleet.DataCentres() {
		for i := range d.scaledNodes(d.scenario.Deployment.NodesByDataCentre[centre]) {
			p, err := newNodePlace(fmt.Sprintf("node-%s-%d", centre, i+1), centre, c+1, i+1)
			if err != nil {
				return err
			}
			places = append(places, p)
		}
	}
	if len(places) == 0 {
		return ErrScale
	}
	var seeds []string
	for _, p := range places[:min(3, len(places))] {
		seeds = append(seeds, p.HostPort(p.Peers))
	}
	for _, p := range places {
		n, err := newNode(d, p, template, seeds)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	return nil
}

// scaledNodes is how many of a number of nodes the scale leaves: one at least of those that are there.
func (d *Deployment) scaledNodes(nodes int) int {
	return min(nodes, max(1, int(math.Round(float64(nodes)*d.options.scale))))
}

func (d *Deployment) startNodes() error {
	errs := make([]error, len(d.nodes))
	var group sync.WaitGroup
	for i, n := range d.nodes {
		group.Go(func() { errs[i] = n.Start(nodeReadyText) })
	}
	group.Wait()
	return errors.Join(errs...)
}

// close ends all that was started, the nodes first.
func (d *Deployment) close() {
	for _, p := range slices.Backward(d.processes) {
		p.Kill()
		_ = p.Close()
	}
}
