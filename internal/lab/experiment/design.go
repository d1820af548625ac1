// Package experiment plays designs of many model days: factors with their
// levels, every combination or a sample of them, some seeds each, on all cores.
// Finished cells are rows of one file, so that a run that was killed goes on
// where it was, and two files can be compared.
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

// Design is one file.
type Design struct {
	Name        string      `toml:"name"`
	Description string      `toml:"about"`
	Policies    []string    `toml:"ways"`    // of choosing; empty: all
	Sizes       []string    `toml:"sizes"`   // servers x proxies, such as "100x10"
	Loads       []float64   `toml:"loads"`   // of what warm servers can do
	Faults      []string    `toml:"faults"`  // empty: quiet
	Seeds       int         `toml:"seeds"`   // of each combination; 0: 3
	FirstSeed   int64       `toml:"from"`    // the first seed; 0: 1
	SampleSize  int         `toml:"sample"`  // so many combinations by chance; 0: all
	Length      strict.Span `toml:"length"`  // of a day; 0: 24 s
	Halls       int         `toml:"halls"`   // 0: 3
	Retries     int         `toml:"retries"` // clients' own
	// ControlServices are numbers of control services, a level each; empty: one.
	ControlServices []int       `toml:"controls"`
	ReportDelay     strict.Span `toml:"late"`    // that steered proxies' reports take, on average
	FrozenFraction  float64     `toml:"frozen"`  // part of the proxies that hears and says nothing from a third of the day on
	SubsetSizes     []int       `toml:"subsets"` // servers of a hall that a steered proxy is told of, a level each; 0: all
}

// Cell is one day to play in one way.
type Cell struct {
	Policy policy.Name `json:"way"`
	fleet.Workload
}

// Key names a cell within a file: the same for the same figures.
func (c Cell) Key() string {
	return fmt.Sprintf("%s %dx%d/%d load %g %s%s %v retries %d seed %d", c.Policy, c.Servers, c.Proxies, c.Zones, c.Load, c.Fault, c.services(), c.Length, c.Retries, c.Seed)
}

// GroupKey names what all seeds of one combination share.
func (c Cell) GroupKey() string {
	return fmt.Sprintf("%s %dx%d load %g %s%s", c.Policy, c.Servers, c.Proxies, c.Load, c.Fault, c.services())
}

func (c Cell) services() string {
	text := ""
	if c.ControlServices > 1 {
		text += fmt.Sprintf(" controls %d", c.ControlServices)
	}
	if c.SubsetSize > 0 {
		text += fmt.Sprintf(" subset %d", c.SubsetSize)
	}
	if c.ReportDelay > 0 {
		text += fmt.Sprintf(" late %v", c.ReportDelay)
	}
	if c.FrozenFraction > 0 {
		text += fmt.Sprintf(" frozen %g", c.FrozenFraction)
	}
	return text
}

// Day names the day, whichever way it is played.
func (c Cell) WorkloadKey() string { return strings.TrimPrefix(c.Key(), string(c.Policy)+" ") }

// cost is about how much work a cell is, to tell the time that is left.
func (c Cell) cost() float64 {
	return float64(c.Servers) * c.Load * c.Length.Seconds()
}

// Load reads and checks a design. Every error names the file, the line and the
// fix.
func Load(file string) (*Design, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(filepath.Base(file), raw)
}

// Parse reads the text of a file.
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
	if d.Halls == 0 {
		d.Halls = 3
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
	for _, w := range d.Policies {
		if !slices.Contains(policy.All, policy.Name(w)) {
			return "ways", fmt.Sprintf("unknown way %q; there are %v", w, policy.All)
		}
	}
	cells, err := d.Cells()
	if err != nil {
		return "sizes", err.Error()
	}
	if len(cells) > maxCells {
		return "", fmt.Sprintf("%d cells; want %d at most: take a sample, or fewer levels", len(cells), maxCells)
	}
	for _, f := range d.Faults { // what a size does not allow shows at the smallest one
		x := cells[0].Workload
		x.Fault = fleet.Fault(f)
		if _, err := x.Scenario(); err != nil {
			return "faults", err.Error()
		}
	}
	for _, l := range d.Loads {
		x := cells[0].Workload
		x.Load = l
		if _, err := x.Scenario(); err != nil {
			return "loads", err.Error()
		}
	}
	return "", ""
}

// Cells lists the cells, all seeds of one combination together. A sample is
// drawn by the design's own name and size, the same each time.
func (d *Design) Cells() ([]Cell, error) {
	var combos []Cell
	controls := d.ControlServices
	if len(controls) == 0 {
		controls = []int{0}
	}
	subsets := d.SubsetSizes
	if len(subsets) == 0 {
		subsets = []int{0}
	}
	for _, size := range d.Sizes {
		var servers, proxies int
		if n, err := fmt.Sscanf(size, "%dx%d", &servers, &proxies); n != 2 || err != nil {
			return nil, fmt.Errorf("sizes: %q is no size; write servers and proxies, such as \"100x10\"", size)
		}
		if servers < 3 || servers > 10_000 || proxies < 1 || proxies > 1_000 {
			return nil, fmt.Errorf("sizes: %q: want 3 to 10,000 servers and 1 to 1,000 proxies", size)
		}
		for _, load := range d.Loads {
			for _, fault := range d.Faults {
				for _, way := range d.Policies {
					for _, n := range controls {
						for _, part := range subsets {
							combos = append(combos, Cell{policy.Name(way), fleet.Workload{Servers: servers, Proxies: proxies, Zones: d.Halls, Load: load,
								Fault: fleet.Fault(fault), Length: d.Length.Duration, Retries: d.Retries, ControlServices: n, SubsetSize: part, ReportDelay: d.ReportDelay.Duration, FrozenFraction: d.FrozenFraction}})
						}
					}
				}
			}
		}
	}
	if len(combos) == 0 {
		return nil, errors.New("no combination")
	}
	if d.SampleSize > 0 && d.SampleSize < len(combos) {
		r := rand.New(rand.NewPCG(uint64(len(combos)), uint64(d.SampleSize)))
		r.Shuffle(len(combos), func(i, j int) { combos[i], combos[j] = combos[j], combos[i] })
		combos = combos[:d.SampleSize]
	}
	cells := make([]Cell, 0, min(maxCells+1, len(combos)*d.Seeds))
	for _, c := range combos {
		for i := range d.Seeds {
			c.Seed = d.FirstSeed + int64(i)
			if cells = append(cells, c); len(cells) > maxCells {
				return cells, nil
			}
		}
	}
	return cells, nil
}
