package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"ivylock/balance"
	"ivylock/internal/console"
	"ivylock/internal/discovery"
	"ivylock/internal/settings"
)

const (
	reservedSockets = 24 // listeners, discovery, peers, standard streams, the runtime's own
	bodyPart        = 8  // of the memory limit
	leastSockets    = 2 * (reservedSockets + console.Sockets)
)

// Config is what a node is told at its start.
type Config struct {
	Name, Listen, Discovery   string
	Console                   string // where operators call; empty: nowhere
	Seed                      int64
	Cores                     float64
	MemoryMB, Sockets         int
	PeerListen, PeerBroadcast string
	Peers                     []string // by node number, this node's own among them
	InitialList               discovery.List
	Settings                  balance.Settings
	Fleet                     *FleetConfig // nil: the node neither tells nor asks others what it acts on
	settingsDigest            uint16
}

// ConfigError is what is wrong with a configuration, on one line.
type ConfigError struct {
	Path  string // of the file; empty: it did not come from one
	Field string // its place in the object; empty: the whole of it
	Text  string // what is wrong and the fix
}

func (e *ConfigError) Error() string {
	text := "configuration"
	if e.Path != "" {
		text += " " + e.Path
	}
	if e.Field != "" {
		text += ": " + e.Field
	}
	return text + ": " + e.Text
}

func fault(field, format string, args ...any) *ConfigError {
	return &ConfigError{Field: field, Text: strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " ")}
}

// LoadConfig reads and checks the configuration file. Its errors are of type *ConfigError.
func LoadConfig(path string) (*Config, error) {
	if path == "" {
		return nil, fault("", "PROXY_CONFIG names no file; set it to the configuration's path")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fault("", "%v; make it a file that this process may read", err)
	}
	c, err := ParseConfig(raw)
	var e *ConfigError
	if errors.As(err, &e) {
		e.Path = path
	}
	return c, err
}

// explain words an error of encoding/json with its place.
func explain(within string, raw []byte, err error) *ConfigError {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		before := raw[:min(int(syntax.Offset), len(raw))]
		return fault(within, "line %d: %v; write valid JSON", 1+bytes.Count(before, []byte("\n")), err)
	case errors.As(err, &kind):
		field := strings.Trim(within+"."+kind.Field, ".")
		return fault(field, "is a JSON %s; write a value of type %v", kind.Value, kind.Type)
	}
	return fault(within, "%v; correct it", err)
}

// configFile is the configuration as it is written; docs/settings.md has a row for each
// field.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Console   string `json:"console"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// ParseConfig reads and checks a configuration. Its errors are of type *ConfigError.
func ParseConfig(raw []byte) (*Config, error) {
	var in configFile
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, explain("", raw, err)
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return nil, fault("seed", "%q is no number; write up to 16 hexadecimal digits", in.Seed)
	}
	c := &Config{Name: in.Name, Listen: in.Listen, Console: in.Console, Discovery: in.Discovery, Seed: int64(seed),
		Cores: in.Limits.Cores, MemoryMB: in.Limits.MemoryMB, Sockets: in.Limits.Sockets,
		PeerListen: in.PeerListen, PeerBroadcast: in.PeersAll, Peers: in.Peers}
	for _, a := range []struct{ field, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"console", c.Console}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil && (a.addr != "" || a.field != "console") {
			return nil, fault(a.field, "%q is no address; write host:port", a.addr)
		}
	}
	if c.Cores <= 0 {
		return nil, fault("limits.cores", "%v; write a number above 0", c.Cores)
	}
	if c.MemoryMB <= 0 {
		return nil, fault("limits.memory_mb", "%d; write a number above 0", c.MemoryMB)
	}
	if c.Sockets < leastSockets {
		return nil, fault("limits.sockets", "%d; write at least %d", c.Sockets, leastSockets)
	}
	if len(in.Known) > 0 {
		if c.InitialList, err = discovery.ParseList(in.Known); err != nil {
			return nil, fault("known", "%v; write a list in discovery's form, or leave it out", err)
		}
	}
	if len(in.Settings) == 0 {
		return nil, fault("settings", "missing; write the deployment's settings")
	}
	var wrong *settings.Error
	if c.Settings, err = settings.DecodeForNode(in.Settings); errors.As(err, &wrong) {
		return nil, fault(strings.TrimSuffix("settings."+wrong.Field, "."), "%s", wrong.Text)
	}
	c.settingsDigest = digestOf(in.Settings)
	s := c.Settings
	// Clients hold a third of the descriptors at most: what is open then shows
	// that the next requests find no connection.
	c.Settings.MaxOpenRequests = min(s.MaxOpenRequests, c.Sockets/3)
	if s.MayMessage && c.PeerListen != "" && (s.Self < 0 || s.Self >= len(c.Peers)) {
		return nil, fault("peers", "node %d is not among %d peers; list every node, in the order of their numbers", s.Self, len(c.Peers))
	}
	return c, nil
}

// CheckReload tells whether another configuration is this node's own: one of another node or
// deployment names servers of somebody else. Limits and costs may differ; they are taken at
// a start. Its errors are of type *ConfigError.
func (c *Config) CheckReload(other *Config) error {
	for _, f := range []struct{ field, have, want string }{
		{"name", other.Name, c.Name}, {"listen", other.Listen, c.Listen},
		{"settings.zone", other.Settings.Zone, c.Settings.Zone},
		{"settings.slot_no", strconv.Itoa(other.Settings.Self), strconv.Itoa(c.Settings.Self)},
		{"settings.classes", classKinds(other.Settings), classKinds(c.Settings)},
	} {
		if f.have != f.want {
			return fault(f.field, "%q is not this node's %q; give each node its own file, or start it anew", f.have, f.want)
		}
	}
	return nil
}

// classKinds names the classes and what their repeats do, in a fixed order.
func classKinds(s balance.Settings) string {
	var all []string
	for _, c := range s.Classes {
		all = append(all, fmt.Sprintf("%s:%d", c.Name, c.Effect))
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// reserved is what neither clients nor backends get.
func (c *Config) reserved() int {
	if c.Console != "" {
		return reservedSockets + console.Sockets
	}
	return reservedSockets
}

// BackendSockets is the part of the descriptors that connections to backends
// may take, ClientSockets that of clients, which are more: each request at a
// backend has its client's connection, and clients keep idle ones too.
func (c *Config) BackendSockets() int { return (c.Sockets - c.reserved()) * 3 / 8 }
func (c *Config) ClientSockets() int  { return c.Sockets - c.reserved() - c.BackendSockets() }

// BodyBudget is how many bytes clients' long bodies may take, all together,
// beyond what each request may hold.
func (c *Config) BodyBudget() int64 { return int64(c.MemoryMB) << 20 / bodyPart }
