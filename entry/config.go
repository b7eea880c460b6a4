package entry

import (
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/settings"
)

// The words of policy.chooser.
const (
	chooserTwoChoices    = "two_choices"
	chooserLeastInFlight = "least_in_flight"
	chooserRoundRobin    = "round_robin"
)

// Config is an entry node's settings.
type Config struct {
	Name       string
	DataCentre string
	LogLevel   string
	// Listen addresses; port 0 asks the kernel for one.
	CallerListen string
	PeerListen   string
	AdminListen  string
	// PeerAdvertise is the address that peers are told, if not the listener's.
	PeerAdvertise   string
	PeerSecret      string
	PeerSeeds       []string
	PlatformAddress string
	MaxBodyBytes    int
	// MaxRequests bounds the callers' requests that are open at a time, and
	// with MaxBodyBytes the memory that they can take.
	MaxRequests       int
	Grace             clock.Millis
	Seed              int
	RecordingCapacity int
	TLSCert           string
	TLSKey            string
	TLSCA             string
	OperatorHashes    map[string]string
	Policy            core.Policy
	Chooser           string
	FixedLimit        int
	MaxQueue          int
}

// NewConfig returns a configuration with the defaults of a node that is made
// without a settings file, as in tests.
func NewConfig() *Config {
	return &Config{
		Name: "node", DataCentre: "dc", LogLevel: "info",
		CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		MaxBodyBytes: defaultMaxBodyBytes, MaxRequests: defaultMaxRequests, Grace: defaultGrace, RecordingCapacity: defaultRecordingCapacity,
		OperatorHashes: make(map[string]string), Policy: core.DefaultPolicy(), Chooser: chooserTwoChoices,
	}
}

// Defaults that are numbers.
const (
	defaultMaxBodyBytes                   = 1 << 20
	defaultMaxRequests                    = 8192
	defaultGrace             clock.Millis = 3000
	defaultRecordingCapacity              = 1 << 14
	maxBodyBytesLimit                     = 64 << 20
	maxIntSetting                         = 1 << 30
)

// Settings declares every setting of an entry node.
func (c *Config) Settings() *settings.Set {
	s := settings.NewSet()
	s.String("node", "name", &c.Name, settings.Required())
	s.String("node", "data_centre", &c.DataCentre, settings.Required())
	s.Millis("node", "grace_ms", &c.Grace, settings.WithDefault("3000"))
	s.Int("node", "seed", &c.Seed, 0, maxIntSetting, settings.WithDefault("0"))
	s.Int("node", "recording", &c.RecordingCapacity, 0, maxIntSetting, settings.WithDefault("16384"))
	s.Address("caller", "listen", &c.CallerListen, settings.WithDefault("127.0.0.1:0"))
	s.Int("caller", "max_body", &c.MaxBodyBytes, 1, maxBodyBytesLimit, settings.WithDefault("1048576"))
	s.Int("caller", "max_requests", &c.MaxRequests, 1, maxIntSetting, settings.WithDefault("8192"))
	s.Address("peer", "listen", &c.PeerListen, settings.WithDefault("127.0.0.1:0"))
	s.Address("peer", "advertise", &c.PeerAdvertise)
	s.String("peer", "secret", &c.PeerSecret, settings.Required(), settings.Secret())
	s.Addresses("peer", "seeds", &c.PeerSeeds)
	s.Address("admin", "listen", &c.AdminListen, settings.WithDefault("127.0.0.1:0"))
	s.Address("platform", "address", &c.PlatformAddress, settings.Required())
	s.File("tls", "cert", &c.TLSCert)
	s.File("tls", "key", &c.TLSKey)
	s.File("tls", "ca", &c.TLSCA)
	s.OneOf("log", "level", &c.LogLevel, []string{"debug", "info", "warn", "error"}, settings.WithDefault("info"))
	c.addPolicySettings(s)
	s.Map("operators", c.OperatorHashes)
	return s
}

func (c *Config) addPolicySettings(s *settings.Set) {
	c.Policy = core.DefaultPolicy()
	s.Bool("policy", "predict", &c.Policy.Predict, settings.WithDefault("true"))
	s.Bool("policy", "fair", &c.Policy.Fair, settings.WithDefault("true"))
	s.Bool("policy", "adapt", &c.Policy.Adapt, settings.WithDefault("true"))
	s.Bool("policy", "affinity", &c.Policy.Affinity, settings.WithDefault("true"))
	s.Bool("policy", "budget", &c.Policy.Budget, settings.WithDefault("true"))
	s.Int("policy", "fixed_limit", &c.FixedLimit, 1, maxIntSetting, settings.WithDefault("64"))
	s.Int("policy", "max_queue", &c.MaxQueue, 1, maxIntSetting, settings.WithDefault("4096"))
	s.OneOf("policy", "chooser", &c.Chooser, []string{chooserTwoChoices, chooserLeastInFlight, chooserRoundRobin}, settings.WithDefault(chooserTwoChoices))
}

// Load reads a settings file.
func (c *Config) Load(path string) (*settings.Set, error) {
	s := c.Settings()
	if err := s.Load(path); err != nil {
		return nil, err
	}
	c.Policy.FixedLimit = float64(c.FixedLimit)
	c.Policy.MaxQueue = c.MaxQueue
	return s, c.validate()
}

// validate looks at what no single setting shows.
func (c *Config) validate() error {
	if (c.TLSCert == "") != (c.TLSKey == "") {
		return errors.Wrap(settings.ErrSettings, "[tls] cert and key go together: set both or neither")
	}
	if c.TLSCert != "" && c.TLSCA == "" {
		return errors.Wrap(settings.ErrSettings, "[tls] ca is missing: peers' certificates are checked against it")
	}
	return nil
}

func (c *Config) newChooser() pool.Chooser {
	switch c.Chooser {
	case chooserLeastInFlight:
		return pool.LeastInFlight{}
	case chooserRoundRobin:
		return pool.NewRoundRobin()
	default:
		return pool.TwoChoices{}
	}
}
