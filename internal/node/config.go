package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"barrowscale/balance"
	"barrowscale/internal/console"
	"barrowscale/internal/discovery"
	"barrowscale/internal/wire"
)

const (
	reservedSockets = 24 // listeners, discovery, peers, standard streams, the runtime's own
	bodyPart        = 8  // of the memory limit
	leastSockets    = 2 * (reservedSockets + console.Sockets)
)

// Config is what a node is told at its start.
type Config struct {
	Name, Listen, Discovery string
	Console                 string // where operators call; empty: nowhere
	Seed                    int64
	Cores                   float64
	MemoryMB, Sockets       int
	PeerListen, PeersAll    string
	Peers                   []string // by node number, this node's own among them
	Known                   discovery.List
	Settings                balance.Settings
	Fleet                   *Fleet // nil: the node neither tells nor asks others what it acts on
	settingsDigest          uint16
}

// LoadConfig reads and checks the configuration file.
func LoadConfig(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("PROXY_CONFIG names no configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := ParseConfig(raw)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// ParseConfig reads and checks a configuration.
func ParseConfig(raw []byte) (*Config, error) {
	var in struct {
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
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	c := &Config{Name: in.Name, Listen: in.Listen, Console: in.Console, Discovery: in.Discovery, Seed: int64(seed),
		Cores: in.Limits.Cores, MemoryMB: in.Limits.MemoryMB, Sockets: in.Limits.Sockets,
		PeerListen: in.PeerListen, PeersAll: in.PeersAll, Peers: in.Peers}
	addrs := map[string]string{"listen": c.Listen, "discovery": c.Discovery}
	if c.Console != "" {
		addrs["console"] = c.Console
	}
	for name, addr := range addrs {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if c.Cores <= 0 || c.MemoryMB <= 0 || c.Sockets < leastSockets {
		return nil, fmt.Errorf("limits: want cores and memory_mb above 0 and at least %d sockets, have %v, %d and %d",
			leastSockets, c.Cores, c.MemoryMB, c.Sockets)
	}
	if len(in.Known) > 0 {
		if c.Known, err = discovery.ParseList(in.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if len(in.Settings) == 0 {
		return nil, errors.New("settings are missing")
	}
	if c.Settings, err = wire.DecodeSettings(in.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.settingsDigest = digestOf(in.Settings)
	s := c.Settings
	if len(s.Classes) == 0 || s.ConnectTimeout <= 0 || s.ConnIdle <= 0 || s.MaxAttempts <= 0 || s.MaxOpen <= 0 {
		return nil, errors.New("settings: want classes, and caps for connect_timeout_ns, conn_idle_ns, max_attempts and most_held")
	}
	// Clients hold a third of the descriptors at most: what is open then shows
	// that the next requests find no connection.
	c.Settings.MaxOpen = min(s.MaxOpen, c.Sockets/3)
	if !s.AskForList {
		return nil, errors.New("settings: membership_mode: only on_request is supported")
	}
	if s.MayMessage && c.PeerListen != "" && s.Self >= len(c.Peers) {
		return nil, fmt.Errorf("peers: node %d is not among %d peers", s.Self, len(c.Peers))
	}
	return c, nil
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

// BodyRoom is how many bytes clients' long bodies may take, all together,
// beyond what each request may hold.
func (c *Config) BodyRoom() int64 { return int64(c.MemoryMB) << 20 / bodyPart }
