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

// ErrNotStarted means that a program could not be started.
var ErrNotStarted = errors.New("rehearse: a program could not be started")

// Deployment is the set of processes of a rehearsal.
type Deployment struct {
	scenario  *lab.Scenario
	options   options
	store     *process.Process
	upstreams *process.Process
	nodes     []*relayNode
	processes []*process.Process
}

// startDeployment starts the store, the upstreams and then all nodes in parallel. The returned
// Deployment must be closed also after an error.
func startDeployment(s *lab.Scenario, o options) (*Deployment, error) {
	d := &Deployment{scenario: s, options: o}
	template, err := os.ReadFile(o.template)
	if err != nil {
		return d, errors.Wrap(err, "rehearse: read the settings template")
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

// newProcess prepares a process that is not started yet. The close method ends it.
func (d *Deployment) newProcess(name, program string, args ...string) (*process.Process, error) {
	path := filepath.Join(d.options.binDir, program)
	if _, err := os.Stat(path); err != nil {
		return nil, errors.Wrapf(ErrNotStarted, "%s does not exist; build the programs with make build, or set their folder with --bin", path)
	}
	logFile, err := os.Create(filepath.Join(d.options.logDir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := process.New(name, logFile, append([]string{path}, args...))
	d.processes = append(d.processes, p)
	return p, nil
}

// startStandIn starts a stand-in of the store or of the upstreams.
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

// prepareNodes chooses the addresses of all nodes and writes their settings.
func (d *Deployment) prepareNodes(template string) error {
	var places []standin.NodeAddresses
	for c, dataCentre := range d.scenario.Fleet.DataCentres() {
		for i := range d.scaledNodes(d.scenario.Deployment.NodesByDataCentre[dataCentre]) {
			p, err := newNodePlace(fmt.Sprintf("node-%s-%d", dataCentre, i+1), dataCentre, c+1, i+1)
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

// scaledNodes returns the number of nodes after scaling: at least one, and not more than there
// are.
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

// close kills all processes, the nodes first.
func (d *Deployment) close() {
	for _, p := range slices.Backward(d.processes) {
		p.Kill()
		_ = p.Close()
	}
}
