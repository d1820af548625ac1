// Package operator reads and validates the operator's file, deploy/operator.toml. Each
// section enables one subsystem; without its section a subsystem is disabled.
package operator

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	"ivylock/fleet/member"
	"ivylock/internal/strict"
)

// File is the parsed operator's file.
type File struct {
	Control *Control `toml:"control"`
	Fleet   *Fleet   `toml:"fleet"`

	path string
	raw  []byte
}

// KeyError returns err as a *strict.Error at the line of a key such as control.cert.
func (f *File) KeyError(key string, err error) error {
	text, _, _ := strings.Cut(err.Error(), "\n")
	return &strict.Error{File: f.path, Line: strict.LineOf(f.raw, key), Text: text}
}

// Control is the section [control] of the control service; docs/xds.md describes its keys.
type Control struct {
	Listen    string `toml:"listen"`     // host:port for proxies
	PlainText bool   `toml:"plain_text"` // without TLS; loopback only
	Cert      string `toml:"cert"`       // PEM files
	Key       string `toml:"key"`
	ClientCA  string `toml:"client_ca"`

	Name           string      `toml:"name"`        // of this control service among several; default: its address
	Console        string      `toml:"console"`     // host:port of the console; empty: no console
	RecordFile     string      `toml:"record_file"` // for the record (docs/audit.md); empty: none
	RecordInterval strict.Span `toml:"record_every"`

	FleetListen string   `toml:"fleet_listen"` // host:port for fleet datagrams; empty: not part of the fleet
	FleetID     int      `toml:"fleet_id"`     // number of this control service in the fleet
	FleetSeeds  []string `toml:"fleet_seeds"`  // addresses of at least two processes of the fleet

	Operators []string `toml:"operators"` // identities that may query client status
	Discovery string   `toml:"discovery"` // host:port of the discovery service
	ListFile  string   `toml:"list_file"` // keeps the last list across restarts; empty: none

	EndpointTTL        strict.Span `toml:"lease"`
	FallbackTTL        strict.Span `toml:"held"`
	HealthCheck        string      `toml:"probe"` // path of the servers' health check, or "tcp"
	LoadReportInterval strict.Span `toml:"report_every"`
	AckTimeout         strict.Span `toml:"ack_within"`
	MaxStreams         int         `toml:"max_streams"`
	MaxServers         int         `toml:"max_servers"`
	SubsetSize         int         `toml:"subset"` // approximate number of servers per zone sent to a proxy; 0: all

	WarmupStartFraction float64     `toml:"cold_from"`
	WarmupTime          strict.Span `toml:"cold_time"`
	OverloadFactor      float64     `toml:"overload_factor"`
	WeightInterval      strict.Span `toml:"change_every"`
	MaxWeightFactor     float64     `toml:"change_by"`

	Services []Service `toml:"service"`
}

// Service is a group of request classes that proxies address by one name.
type Service struct {
	Name           string      `toml:"name"`
	Proxies        []string    `toml:"proxies"` // identities that may see the service
	ConnectTimeout strict.Span `toml:"connect"`
	Classes        []Class     `toml:"class"`
}

// Class is a request class of a service.
type Class struct {
	Name          string      `toml:"name"`
	Effect        string      `toml:"effect"` // safe, keyed or unsafe
	Priority      bool        `toml:"priority"`
	TargetLatency strict.Span `toml:"aim"`
	Deadline      strict.Span `toml:"deadline"`
	DedupWindow   strict.Span `toml:"key_window"`
}

const maxEndpointTTL = 250 * time.Millisecond

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Load reads and parses a file. Errors in its content are of type *strict.Error.
func Load(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse parses and validates the content of a file. path is used in errors.
func Parse(path string, raw []byte) (*File, error) {
	f := &File{path: path, raw: raw}
	if err := strict.Decode(path, raw, f, "docs/xds.md and docs/audit.md"); err != nil {
		return nil, err
	}
	if f.Fleet != nil {
		f.Fleet.setDefaults()
		if key, text := f.Fleet.validate(); text != "" {
			return nil, &strict.Error{File: path, Line: strict.LineOf(raw, "fleet."+key), Text: text}
		}
	}
	if f.Control != nil {
		f.Control.setDefaults()
		if key, text := f.validateControlFleet(); text != "" {
			return nil, &strict.Error{File: path, Line: strict.LineOf(raw, "control."+key), Text: text}
		}
		if key, text := f.Control.validate(); text != "" {
			return nil, &strict.Error{File: path, Line: strict.LineOf(raw, "control."+key), Text: text}
		}
	}
	return f, nil
}

func (c *Control) setDefaults() {
	setDefault := func(s *strict.Span, d time.Duration) {
		if s.Duration == 0 {
			s.Duration = d
		}
	}
	setDefault(&c.EndpointTTL, 240*time.Millisecond)
	setDefault(&c.FallbackTTL, time.Minute)
	setDefault(&c.LoadReportInterval, 500*time.Millisecond)
	setDefault(&c.AckTimeout, 5*time.Second)
	setDefault(&c.RecordInterval, time.Second)
	if c.Name == "" {
		c.Name = c.Listen
	}
	if c.MaxStreams == 0 {
		c.MaxStreams = 4096
	}
	if c.MaxServers == 0 {
		c.MaxServers = 4096
	}
	if c.HealthCheck == "" {
		c.HealthCheck = "/healthz"
	}
	for i := range c.Services {
		setDefault(&c.Services[i].ConnectTimeout, 250*time.Millisecond)
	}
}

// validate returns the first invalid key, relative to control, and what to change.
func (c *Control) validate() (key, text string) {
	host, _, err := net.SplitHostPort(c.Listen)
	hasTLSFiles := c.Cert != "" || c.Key != "" || c.ClientCA != ""
	switch {
	case err != nil:
		return "listen", "listen must be host:port, such as \"127.0.0.1:18000\""
	case c.PlainText && hasTLSFiles:
		return "plain_text", "plain_text and certificates exclude one another; remove one of them"
	case c.PlainText && !isLoopback(host):
		return "listen", "plain text is allowed on a loopback address only; listen on 127.0.0.1, or set cert, key and client_ca"
	case !c.PlainText && (c.Cert == "" || c.Key == "" || c.ClientCA == ""):
		return "listen", "set cert, key and client_ca, or plain_text = true on a loopback address"
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return "discovery", "discovery must be host:port of the discovery service"
	}
	for _, x := range []struct {
		key       string
		v         strict.Span
		low, high time.Duration
	}{
		{"lease", c.EndpointTTL, 60 * time.Millisecond, maxEndpointTTL},
		{"held", c.FallbackTTL, time.Second, time.Hour},
		{"report_every", c.LoadReportInterval, 100 * time.Millisecond, 2 * time.Second},
		{"ack_within", c.AckTimeout, 500 * time.Millisecond, time.Minute},
		{"record_every", c.RecordInterval, 100 * time.Millisecond, time.Hour},
		{"cold_time", c.WarmupTime, 0, time.Hour},
		{"change_every", c.WeightInterval, 0, time.Minute},
	} {
		if x.v.Duration < x.low || x.v.Duration > x.high {
			return x.key, fmt.Sprintf("%s must be from %v to %v; it is %v", x.key, x.low, x.high, x.v.Duration)
		}
	}
	if host, _, err := net.SplitHostPort(c.Console); c.Console != "" && (err != nil || !isLoopback(host)) {
		return "console", "console must be host:port on a loopback address, such as \"127.0.0.1:18001\": it has no authentication"
	}
	switch {
	case len(c.Name) > 64 || strings.ContainsAny(c.Name, " \n\t"):
		return "name", "name must be at most 64 bytes without white space"
	case c.MaxStreams < 1 || c.MaxStreams > 65536:
		return "max_streams", "max_streams must be from 1 to 65536"
	case c.MaxServers < 1 || c.MaxServers > 65536:
		return "max_servers", "max_servers must be from 1 to 65536"
	case c.SubsetSize != 0 && (c.SubsetSize < 16 || c.SubsetSize > 65536):
		return "subset", "subset must be 0, for all servers, or from 16 to 65536"
	case c.WarmupStartFraction < 0 || c.WarmupStartFraction > 1:
		return "cold_from", "cold_from must be a fraction from 0 to 1, such as 0.32"
	case c.OverloadFactor != 0 && (c.OverloadFactor < 1 || c.OverloadFactor > 100):
		return "overload_factor", "overload_factor must be from 1 to 100"
	case c.MaxWeightFactor != 0 && (c.MaxWeightFactor <= 1 || c.MaxWeightFactor > 10):
		return "change_by", "change_by must be over 1 and at most 10"
	case c.HealthCheck != "tcp" && !strings.HasPrefix(c.HealthCheck, "/"):
		return "probe", "probe must be a path that begins with /, or \"tcp\""
	case len(c.Services) == 0:
		return "", "there is no [[control.service]]; add one with its classes"
	}
	return c.validateServices()
}

// validateControlFleet checks the keys by which the control service joins the fleet.
func (f *File) validateControlFleet() (key, text string) {
	c := f.Control
	if c.FleetListen == "" {
		if c.FleetID != 0 || len(c.FleetSeeds) > 0 {
			return "fleet_listen", "fleet_id and fleet_seeds require fleet_listen; set it, or remove them"
		}
		return "", ""
	}
	a, err := netip.ParseAddrPort(c.FleetListen)
	switch {
	case err != nil || !a.Addr().Is4() || !a.Addr().IsLoopback():
		return "fleet_listen", "fleet_listen must be a numeric IPv4 address and port on loopback, such as \"127.0.0.1:7950\""
	case f.Fleet == nil || len(f.Fleet.AllowedPrefixes) == 0:
		return "fleet_listen", "fleet_listen requires the section [fleet] with members = true and strangers"
	case c.FleetID < member.FirstControlID || c.FleetID >= 4096:
		return "fleet_id", fmt.Sprintf("fleet_id must be a number from %d to 4095 that no other process has", member.FirstControlID)
	case len(c.FleetSeeds) < 2:
		return "fleet_seeds", "fleet_seeds must name at least two processes of the fleet, such as \"127.0.0.1:7946\""
	}
	for _, s := range c.FleetSeeds {
		if a, err := netip.ParseAddrPort(s); err != nil || !a.Addr().Is4() {
			return "fleet_seeds", fmt.Sprintf("fleet_seeds: %q is not a numeric IPv4 address and port", s)
		}
	}
	return "", ""
}

// SeedAddrs returns the addresses of FleetSeeds. Addresses that do not parse are skipped;
// validateControlFleet has rejected them.
func (c *Control) SeedAddrs() (out []netip.AddrPort) {
	for _, s := range c.FleetSeeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			out = append(out, a)
		}
	}
	return out
}

func (c *Control) validateServices() (key, text string) {
	seen, n := map[string]bool{}, 0
	for i, s := range c.Services {
		keyPrefix := fmt.Sprintf("service.%d.", i)
		switch {
		case !namePattern.MatchString(s.Name):
			return keyPrefix + "name", "a service's name must be at most 63 lower-case letters, digits, dots and dashes"
		case seen[s.Name]:
			return keyPrefix + "name", fmt.Sprintf("there are two services %q; rename one", s.Name)
		case !c.PlainText && len(s.Proxies) == 0:
			return keyPrefix + "proxies", "list the identities that may see the service, such as proxies = [\"spiffe://example.org/proxy/*\"]"
		case len(s.Classes) == 0:
			return keyPrefix + "name", "the service has no [[control.service.class]]; add one"
		case len(s.Classes) > 64:
			return keyPrefix + "name", "a service has at most 64 classes"
		}
		seen[s.Name] = true
		classes := map[string]bool{}
		for _, x := range s.Classes {
			// strict.LineOf counts nested tables over the whole file.
			keyPrefix := fmt.Sprintf("service.class.%d.", n)
			n++
			switch {
			case !namePattern.MatchString(x.Name):
				return keyPrefix + "name", "a class's name must be at most 63 lower-case letters, digits, dots and dashes"
			case classes[x.Name]:
				return keyPrefix + "name", fmt.Sprintf("the service has two classes %q; rename one", x.Name)
			case x.Effect != "safe" && x.Effect != "keyed" && x.Effect != "unsafe":
				return keyPrefix + "effect", "effect must be \"safe\", \"keyed\" or \"unsafe\""
			case x.Effect == "keyed" && (x.DedupWindow.Duration < 100*time.Millisecond || x.DedupWindow.Duration > 8*time.Second):
				return keyPrefix + "key_window", "a keyed class requires key_window, the deduplication window of a pod: 100ms to 8s"
			case x.Effect != "keyed" && x.DedupWindow.Duration != 0:
				return keyPrefix + "key_window", "only a keyed class has a key_window; remove it"
			case x.TargetLatency.Duration <= 0 || x.TargetLatency.Duration > time.Minute:
				return keyPrefix + "aim", "aim must be over 0 and at most 1m"
			case x.Deadline.Duration < x.TargetLatency.Duration || x.Deadline.Duration > 10*time.Minute:
				return keyPrefix + "deadline", "deadline must be from the aim to 10m"
			}
			classes[x.Name] = true
		}
	}
	return "", ""
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}
