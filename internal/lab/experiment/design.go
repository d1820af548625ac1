// Package experiment runs factorial experiments in simulation: all combinations of
// the factors' levels or a sample of them, with several seeds each, on all cores.
// Finished cells are rows of one file, so that an interrupted run can be resumed
// and two files can be compared.
package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"ivylock/internal/lab/fleet"
	"ivylock/internal/lab/policy"
	"ivylock/internal/strict"
)

// Bounds of a design.
const (
	maxCells = 100_000
	maxSeeds = 10_000
)

// Design is the content of one design file.
type Design struct {
	Name        string      `toml:"name"`
	Description string      `toml:"about"`
	Policies    []string    `toml:"ways"`    // empty: all
	Sizes       []string    `toml:"sizes"`   // servers x proxies, as in "100x10"
	Loads       []float64   `toml:"loads"`   // fraction of the capacity of warm servers
	Faults      []string    `toml:"faults"`  // empty: none
	Seeds       int         `toml:"seeds"`   // per combination; 0: 3
	FirstSeed   int64       `toml:"from"`    // 0: 1
	SampleSize  int         `toml:"sample"`  // number of random combinations; 0: all
	Length      strict.Span `toml:"length"`  // of the load; 0: 24 s
	Zones       int         `toml:"halls"`   // 0: 3
	Retries     int         `toml:"retries"` // by clients
	// ControlServices are levels of the number of control services; empty: one.
	ControlServices []int       `toml:"controls"`
	ReportDelay     strict.Span `toml:"late"` // mean delay of load reports under xds
	// FrozenFraction of the proxies neither sends reports nor receives updates
	// after the first third of the run.
	FrozenFraction float64 `toml:"frozen"`
	// SubsetSizes are levels of the number of servers per zone that a proxy under
	// xds is assigned; 0: all.
	SubsetSizes []int `toml:"subsets"`
}

// Cell is one workload with one policy and seed.
type Cell struct {
	Policy policy.Name `json:"way"`
	fleet.Workload
}

// Key identifies a cell within a file.
func (c Cell) Key() string {
	return fmt.Sprintf("%s %dx%d/%d load %g %s%s %v retries %d seed %d", c.Policy, c.Servers, c.Proxies, c.Zones, c.Load, c.Fault, c.controlLabel(), c.Length, c.Retries, c.Seed)
}

// GroupKey identifies the combination of factors, without the seed.
func (c Cell) GroupKey() string {
	return fmt.Sprintf("%s %dx%d load %g %s%s", c.Policy, c.Servers, c.Proxies, c.Load, c.Fault, c.controlLabel())
}

func (c Cell) controlLabel() string {
	label := ""
	if c.ControlServices > 1 {
		label += fmt.Sprintf(" controls %d", c.ControlServices)
	}
	if c.SubsetSize > 0 {
		label += fmt.Sprintf(" subset %d", c.SubsetSize)
	}
	if c.ReportDelay > 0 {
		label += fmt.Sprintf(" late %v", c.ReportDelay)
	}
	if c.FrozenFraction > 0 {
		label += fmt.Sprintf(" frozen %g", c.FrozenFraction)
	}
	return label
}

// WorkloadKey identifies the workload, without the policy.
func (c Cell) WorkloadKey() string { return strings.TrimPrefix(c.Key(), string(c.Policy)+" ") }

// cost returns a number proportional to the expected run time of a cell.
func (c Cell) cost() float64 {
	return float64(c.Servers) * c.Load * c.Length.Seconds()
}

// Load reads and validates a design file. Errors about its content name the file,
// the line and the fix.
func Load(file string) (*Design, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(filepath.Base(file), raw)
}

// Parse decodes and validates the text of a design file.
func Parse(file string, raw []byte) (*Design, error) {
	d := &Design{}
	if err := strict.Decode(file, raw, d, "docs/experiments.md"); err != nil {
		return nil, err
	}
	if d.Seeds == 0 {
		d.Seeds = 3
	}
	if d.FirstSeed == 0 {
		d.FirstSeed = 1
	}
	if d.Length.Duration == 0 {
		d.Length.Duration = 24 * time.Second
	}
	if d.Zones == 0 {
		d.Zones = 3
	}
	if len(d.Faults) == 0 {
		d.Faults = []string{string(fleet.NoFault)}
	}
	if len(d.Policies) == 0 {
		for _, w := range policy.All {
			d.Policies = append(d.Policies, string(w))
		}
	}
	if key, text := d.check(); text != "" {
		return nil, &strict.Error{File: file, Line: strict.LineOf(raw, key), Text: text}
	}
	return d, nil
}

func (d *Design) check() (key, text string) {
	switch {
	case d.Name == "" || strings.ContainsAny(d.Name, " /\\\n"):
		return "name", "name: want one word, such as name = \"sizes\""
	case len(d.Sizes) == 0:
		return "", "no sizes; want sizes = [\"12x3\", \"100x10\"], servers and proxies"
	case len(d.Loads) == 0:
		return "", "no loads; want loads = [0.5, 0.9], of what the servers can do"
	case d.Seeds < 1 || d.Seeds > maxSeeds:
		return "seeds", fmt.Sprintf("seeds: want 1 to %d", maxSeeds)
	case d.FirstSeed < 1:
		return "from", "from: want the first seed, 1 or more"
	case d.SampleSize < 0:
		return "sample", "sample: want how many combinations to take, or leave it out for all"
	case d.Length.Duration < time.Second || d.Length.Duration > 10*time.Minute:
		return "length", "length: want 1s to 10m"
	case slices.ContainsFunc(d.ControlServices, func(n int) bool { return n < 1 || n > 16 }):
		return "controls", "controls: want 1 to 16 control services"
	case slices.ContainsFunc(d.SubsetSizes, func(n int) bool { return n < 0 }):
		return "subsets", "subsets: want 0 or more servers"
	case d.ReportDelay.Duration > 10*time.Second:
		return "late", "late: want 10s at most"
	case d.FrozenFraction < 0 || d.FrozenFraction > 1:
		return "frozen", "frozen: want a part of the proxies, 0 to 1"
	case d.Retries < 0 || d.Retries > 2:
		return "retries", "retries: want 0, 1 or 2"
	}
	for _, name := range d.Policies {
		if !slices.Contains(policy.All, policy.Name(name)) {
			return "ways", fmt.Sprintf("unknown way %q; there are %v", name, policy.All)
		}
	}
	cells, err := d.Cells()
	if err != nil {
		return "sizes", err.Error()
	}
	if len(cells) > maxCells {
		return "", fmt.Sprintf("%d cells; want %d at most: take a sample, or fewer levels", len(cells), maxCells)
	}
	for _, fault := range d.Faults { // checked with the first size only
		workload := cells[0].Workload
		workload.Fault = fleet.Fault(fault)
		if _, err := workload.Scenario(); err != nil {
			return "faults", err.Error()
		}
	}
	for _, load := range d.Loads {
		workload := cells[0].Workload
		workload.Load = load
		if _, err := workload.Scenario(); err != nil {
			return "loads", err.Error()
		}
	}
	return "", ""
}

// Cells lists the cells, with all seeds of a combination together. The sample is
// the same each time for the same design.
func (d *Design) Cells() ([]Cell, error) {
	var combinations []Cell
	serviceCounts := d.ControlServices
	if len(serviceCounts) == 0 {
		serviceCounts = []int{0}
	}
	subsets := d.SubsetSizes
	if len(subsets) == 0 {
		subsets = []int{0}
	}
	for _, size := range d.Sizes {
		var servers, proxies int
		if count, err := fmt.Sscanf(size, "%dx%d", &servers, &proxies); count != 2 || err != nil {
			return nil, fmt.Errorf("sizes: %q is no size; write servers and proxies, such as \"100x10\"", size)
		}
		if servers < 3 || servers > 10_000 || proxies < 1 || proxies > 1_000 {
			return nil, fmt.Errorf("sizes: %q: want 3 to 10,000 servers and 1 to 1,000 proxies", size)
		}
		for _, load := range d.Loads {
			for _, fault := range d.Faults {
				for _, name := range d.Policies {
					for _, count := range serviceCounts {
						for _, subset := range subsets {
							combinations = append(combinations, Cell{policy.Name(name), fleet.Workload{Servers: servers, Proxies: proxies, Zones: d.Zones, Load: load,
								Fault: fleet.Fault(fault), Length: d.Length.Duration, Retries: d.Retries, ControlServices: count, SubsetSize: subset, ReportDelay: d.ReportDelay.Duration, FrozenFraction: d.FrozenFraction}})
						}
					}
				}
			}
		}
	}
	if len(combinations) == 0 {
		return nil, errors.New("no combination")
	}
	if d.SampleSize > 0 && d.SampleSize < len(combinations) {
		rng := rand.New(rand.NewPCG(uint64(len(combinations)), uint64(d.SampleSize)))
		rng.Shuffle(len(combinations), func(i, j int) { combinations[i], combinations[j] = combinations[j], combinations[i] })
		combinations = combinations[:d.SampleSize]
	}
	cells := make([]Cell, 0, min(maxCells+1, len(combinations)*d.Seeds))
	for _, c := range combinations {
		for i := range d.Seeds {
			c.Seed = d.FirstSeed + int64(i)
			if cells = append(cells, c); len(cells) > maxCells {
				return cells, nil
			}
		}
	}
	return cells, nil
}
