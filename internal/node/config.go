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
	"ivylock/guard"
	"ivylock/internal/console"
	"ivylock/internal/discovery"
	"ivylock/internal/settings"
)

const (
	reservedSockets   = 24 // listeners, discovery, peers, standard streams and the Go runtime
	bodyMemoryDivisor = 8  // the memory limit divided by this is the budget for long request bodies
	minSockets        = 2 * (reservedSockets + console.MaxDescriptors)
)

// Config is the configuration of a node.
type Config struct {
	Name, Listen, Discovery   string
	Console                   string // address of the operators' console; empty: none
	Seed                      int64
	Cores                     float64
	MemoryMB, Sockets         int
	PeerListen, PeerBroadcast string
	Peers                     []string // by node number, including this node
	InitialList               discovery.List
	Settings                  balance.Settings
	Fleet                     *FleetConfig // nil: the node does not exchange fleet state
	settingsDigest            uint16
}

// ConfigError describes an invalid configuration in one line.
type ConfigError struct {
	Path  string // of the file; empty if not read from a file
	Field string // path of the field; empty for the whole object
	Text  string // what is wrong and how to fix it
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

func newConfigError(field, format string, args ...any) *ConfigError {
	return &ConfigError{Field: field, Text: strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " ")}
}

// LoadConfig reads and validates the configuration file. Its errors are of type
// *ConfigError.
func LoadConfig(path string) (*Config, error) {
	if path == "" {
		return nil, newConfigError("", "PROXY_CONFIG names no file; set it to the configuration's path")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, newConfigError("", "%v; make it a file that this process may read", err)
	}
	c, err := ParseConfig(raw)
	var e *ConfigError
	if errors.As(err, &e) {
		e.Path = path
	}
	return c, err
}

// describeJSONError converts an error of encoding/json into a ConfigError with its
// position.
func describeJSONError(within string, raw []byte, err error) *ConfigError {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		before := raw[:min(int(syntaxErr.Offset), len(raw))]
		return newConfigError(within, "line %d: %v; write valid JSON", 1+bytes.Count(before, []byte("\n")), err)
	case errors.As(err, &typeErr):
		field := strings.Trim(within+"."+typeErr.Field, ".")
		return newConfigError(field, "is a JSON %s; write a value of type %v", typeErr.Value, typeErr.Type)
	}
	return newConfigError(within, "%v; correct it", err)
}

// configFile is the JSON form of a configuration. docs/settings.md documents each field.
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

// ParseConfig parses and validates a configuration. Its errors are of type *ConfigError.
func ParseConfig(raw []byte) (*Config, error) {
	var in configFile
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, describeJSONError("", raw, err)
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return nil, newConfigError("seed", "%q is not a number; write up to 16 hexadecimal digits", in.Seed)
	}
	config := &Config{Name: in.Name, Listen: in.Listen, Console: in.Console, Discovery: in.Discovery, Seed: int64(seed),
		Cores: in.Limits.Cores, MemoryMB: in.Limits.MemoryMB, Sockets: in.Limits.Sockets,
		PeerListen: in.PeerListen, PeerBroadcast: in.PeersAll, Peers: in.Peers}
	for _, a := range []struct{ field, addr string }{{"listen", config.Listen}, {"discovery", config.Discovery}, {"console", config.Console}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil && (a.addr != "" || a.field != "console") {
			return nil, newConfigError(a.field, "%q is not an address; write host:port", a.addr)
		}
	}
	if config.Cores <= 0 {
		return nil, newConfigError("limits.cores", "%v; write a number above 0", config.Cores)
	}
	if config.MemoryMB <= 0 {
		return nil, newConfigError("limits.memory_mb", "%d; write a number above 0", config.MemoryMB)
	}
	if config.Sockets < minSockets {
		return nil, newConfigError("limits.sockets", "%d; write at least %d", config.Sockets, minSockets)
	}
	if len(in.Known) > 0 {
		if config.InitialList, err = discovery.ParseList(in.Known); err != nil {
			return nil, newConfigError("known", "%v; write a list in discovery's form, or leave it out", err)
		}
	}
	if len(in.Settings) == 0 {
		return nil, newConfigError("settings", "missing; write the deployment's settings")
	}
	var settingsErr *settings.Error
	if config.Settings, err = settings.DecodeForNode(in.Settings); errors.As(err, &settingsErr) {
		return nil, newConfigError(strings.TrimSuffix("settings."+settingsErr.Field, "."), "%s", settingsErr.Text)
	}
	config.settingsDigest = digestSettings(in.Settings)
	s := config.Settings
	// Open requests are limited to a third of the descriptors, so that connections remain
	// for further clients.
	config.Settings.MaxOpenRequests = min(s.MaxOpenRequests, config.Sockets/3)
	if s.MayMessage && config.PeerListen != "" && (s.Self < 0 || s.Self >= len(config.Peers)) {
		return nil, newConfigError("peers", "node %d is not among %d peers; list every node, in the order of their numbers", s.Self, len(config.Peers))
	}
	return config, nil
}

// CheckReload returns an error if other belongs to another node or deployment, whose
// servers differ. Limits and costs may differ; they take effect at the next start. Its
// errors are of type *ConfigError.
func (c *Config) CheckReload(other *Config) error {
	for _, f := range []struct{ field, have, want string }{
		{"name", other.Name, c.Name}, {"listen", other.Listen, c.Listen},
		{"settings.zone", other.Settings.Zone, c.Settings.Zone},
		{"settings.slot_no", strconv.Itoa(other.Settings.Self), strconv.Itoa(c.Settings.Self)},
		{"settings.classes", classEffects(other.Settings), classEffects(c.Settings)},
	} {
		if f.have != f.want {
			return newConfigError(f.field, "%q is not this node's %q; give each node its own file, or start it anew", f.have, f.want)
		}
	}
	return nil
}

// classEffects lists the classes with their retry effects in a fixed order.
func classEffects(s balance.Settings) string {
	var all []string
	for _, c := range s.Classes {
		all = append(all, fmt.Sprintf("%s:%d", c.Name, c.Effect))
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// reserved returns the number of descriptors that neither clients nor backends may use.
func (c *Config) reserved() int {
	if c.Console != "" {
		return reservedSockets + console.MaxDescriptors
	}
	return reservedSockets
}

// BackendSockets returns the number of descriptors for connections to backends.
func (c *Config) BackendSockets() int { return (c.Sockets - c.reserved()) * 3 / 8 }

// ClientSockets returns the number of descriptors for connections of clients. It exceeds
// BackendSockets because every request at a backend occupies a client connection too, and
// clients also keep idle connections. It is lower where there is no memory for so many.
func (c *Config) ClientSockets() int { return c.memoryPlan().Connections }

// memoryPlan divides the memory limit among the clients that the descriptors allow.
func (c *Config) memoryPlan() guard.MemoryPlan {
	return guard.PlanMemory(int64(c.MemoryMB)<<20, c.Sockets-c.reserved()-c.BackendSockets())
}

// BodyBudget returns the total number of bytes that long request bodies may occupy beyond
// the per-request buffer.
func (c *Config) BodyBudget() int64 { return int64(c.MemoryMB) << 20 / bodyMemoryDivisor }
