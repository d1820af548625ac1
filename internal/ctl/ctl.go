// Package ctl is ivylockctl's command line: it reads the records of processes from
// their consoles or from files and shows what package audit makes of them.
package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"ivylock/fleet/audit"

	"github.com/spf13/cobra"
)

// The exit codes.
const (
	ExitOK            = 0
	ExitProblemsFound = 1 // sends that were too late, or a process that is behind
	ExitUsage         = 2 // unknown words
	ExitNoRecords     = 3 // no record was to be had
)

// errFound ends a command that has shown something that is wrong.
var errFound = errors.New("found")

// errNothing ends a command that had no record to go by.
var errNothing = errors.New("no record was to be had; name consoles with --console, or files with --file")

// app is one call.
type app struct {
	out, err io.Writer
	from     source
	json     bool
	plot     string
	options  audit.Options
}

// Run carries out one call and gives its exit code.
func Run(args []string, out, errs io.Writer) int {
	a := &app{out: out, err: errs, options: audit.DefaultOptions()}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	switch err := root.Execute(); {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFound):
		return ExitProblemsFound
	case errors.Is(err, errNothing):
		fmt.Fprintln(errs, "ivylockctl:", err)
		return ExitNoRecords
	default:
		fmt.Fprintln(errs, "ivylockctl:", err)
		return ExitUsage
	}
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{Use: "ivylockctl", Short: "asks the fleet", SilenceErrors: true, SilenceUsage: true}
	fleet := &cobra.Command{Use: "fleet", Short: "what the fleet's processes have acted on"}
	flags := fleet.PersistentFlags()
	flags.StringSliceVarP(&a.from.consoles, "console", "c", nil, "a process's console, host:port; several by commas")
	flags.StringSliceVarP(&a.from.files, "file", "f", nil, "a file of records; several by commas")
	flags.DurationVar(&a.from.wait, "wait", 2*time.Second, "for each console")
	flags.BoolVar(&a.json, "json", false, "JSON in place of a table")
	flags.DurationVar(&a.options.Grace, "grace", a.options.Grace, "after a withdrawal, in which sends may still go there")
	flags.IntVar(&a.options.FleetSize, "size", 0, "processes that the fleet has; 0: as many as the records name")
	versions := a.command("versions", "who acts on which version, and who is behind", a.versions)
	versions.Flags().StringVar(&a.plot, "plot", "", "draws the versions of each process over time into a file (.png, .svg or .pdf)")
	why := a.command("why NODE", "one process: what it acted on, when, and what else is known", nil)
	why.Args = cobra.ExactArgs(1)
	why.RunE = func(_ *cobra.Command, args []string) error {
		return a.with(func(x *audit.Audit) error { return a.why(x, args[0]) })
	}
	fleet.AddCommand(versions, why,
		a.command("audit", "sends that happened although the sender, or another process, knew better", a.breaks),
		a.command("proxies", "how each proxy that control services steer follows them", a.proxies),
		a.command("members", "whom each process takes to be in the fleet", a.members),
		a.command("shares", "what each process holds of the wholes that the fleet shares, and their sums", a.shares),
		a.command("changes", "how long each version took to reach the fleet", a.changes))
	root.AddCommand(fleet)
	return root
}

func (a *app) command(use, short string, do func(*audit.Audit) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return a.with(do) }}
}

// with reads the records and hands them to a command.
func (a *app) with(do func(*audit.Audit) error) error {
	records, notes := a.from.read()
	for _, n := range notes {
		fmt.Fprintln(a.err, "ivylockctl:", n)
	}
	if len(records) == 0 {
		return errNothing
	}
	return do(audit.New(records, a.options))
}

// table writes rows under a head, or a value in JSON.
func (a *app) table(v any, head string, rows func(w io.Writer)) error {
	if a.json {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(a.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, head)
	rows(w)
	return w.Flush()
}

func (a *app) versions(x *audit.Audit) error {
	all := x.Processes()
	if a.plot != "" {
		if err := plotSpans(x.Spans(), a.plot); err != nil {
			return err
		}
	}
	err := a.table(all, "process\tstate\tacts on\twithdrawals to\tbehind\tsettings\tbuild\tstanding\tsure\twhy", func(w io.Writer) {
		for _, p := range all {
			by := "-"
			if p.GenerationsBehind > 0 {
				by = fmt.Sprint(p.GenerationsBehind)
			}
			fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%s\t%04x\t%04x\t%s\t%s\t%s\n", p.Process, p.State, p.Version.List, p.AppliedVersion, by,
				p.Version.Settings, p.Version.Build, orDash(p.Mode), p.Confidence, orDash(p.Why))
		}
	})
	for _, p := range all {
		if err == nil && p.State == audit.Behind {
			return errFound
		}
	}
	return err
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (a *app) breaks(x *audit.Audit) error {
	all := x.LateSends()
	err := a.table(all, "process\tserver\twithdrawn by\tsends\tlast\tafter\tknew\tsure", func(w io.Writer) {
		for _, b := range all {
			knew, sends := "another", fmt.Sprint(b.MinSends)
			if b.SelfKnew {
				knew = "itself"
			}
			if b.MaxSends > b.MinSends {
				sends = fmt.Sprintf("%d to %d", b.MinSends, b.MaxSends)
			}
			fmt.Fprintf(w, "%s\t%s\t%v (%s)\t%s\t%s\t%v\t%s\t%s\n", b.Process, b.Server, b.Version, b.State, sends, audit.FormatTime(b.LastSend),
				b.Lateness.Round(time.Millisecond), knew, b.Confidence)
		}
		if len(all) == 0 {
			fmt.Fprintf(w, "none on record of %d processes; %d are unknown\n", len(x.Processes()), unknown(x))
		}
	})
	if err == nil && len(all) > 0 {
		return errFound
	}
	return err
}

func unknown(x *audit.Audit) int {
	n := 0
	for _, p := range x.Processes() {
		if p.State == audit.StateUnknown {
			n++
		}
	}
	return n
}

func (a *app) changes(x *audit.Audit) error {
	all := x.Propagations()
	took := func(d time.Duration) string {
		if d < 0 {
			return "never"
		}
		return d.Round(time.Millisecond).String()
	}
	return a.table(all, "version\tfirst\tat\thalf\tnine in ten\tall\treached\tnever\tno record", func(w io.Writer) {
		for _, c := range all {
			fmt.Fprintf(w, "%v\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", c.Version, c.FirstProcess, audit.FormatTime(c.FirstAt), took(c.ToHalf), took(c.ToNineTenths), took(c.ToAll),
				c.Reached, len(c.NotReached), c.NoRecord)
		}
	})
}

// proxies shows, for each proxy on control services' records, what it acts on and
// whether it went back when it moved.
func (a *app) proxies(x *audit.Audit) error {
	all := x.Proxies()
	err := a.table(all, "proxy\tstate\tasks\taccepted\tacts on\tmoves\tsure\twhy", func(w io.Writer) {
		for _, p := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%d\t%s\t%s\n", p.Proxy, p.State, p.Service, p.Accepted, p.BasedOn, len(p.ServiceChanges), p.Confidence, orDash(p.Why))
		}
		if len(all) == 0 {
			fmt.Fprintln(w, "no control service is on record that steers a proxy; console or record_file in [control] has it tell")
		}
	})
	for _, p := range all {
		if err == nil && p.State == audit.Behind {
			return errFound
		}
	}
	if err == nil && len(x.Regressions()) > 0 {
		return errFound
	}
	return err
}

// members shows, for each process on record, how it sees the others: those that it
// takes for anything but alive by name.
func (a *app) members(x *audit.Audit) error {
	all := x.Views()
	err := a.table(all, "process\talive\tof\tview\tmajority\tseats\tguards\tnot alive", func(w io.Writer) {
		for _, v := range all {
			guards := "answer"
			if !v.HasQuorum {
				guards = "too few"
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%08x\t%v\t%d\t%s\t%s\n", v.Process, v.Alive, v.Known, v.Digest, v.Majority, v.Slots, guards, orDash(strings.Join(v.NotAlive, ", ")))
		}
		if len(all) == 0 {
			fmt.Fprintln(w, "no process on record finds out who is alive; members = true in [fleet] has them do so")
		}
	})
	for _, v := range all {
		if err == nil && (len(v.NotAlive) > 0 || !v.Majority) {
			return errFound
		}
	}
	return err
}

// overheld is by how much the sum of parts may exceed a whole, as records are of
// different moments.
const overheld = 1.1

// shares shows what each process holds of each whole, and what that comes to.
func (a *app) shares(x *audit.Audit) error {
	all := x.SharedQuotas()
	err := a.table(all, "whole\tprocess\tbase\theld\tneed", func(w io.Writer) {
		for _, s := range all {
			for _, p := range s.Leases {
				fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\n", s.Quota, p.Process, p.EqualShare, p.Held, p.Demand)
			}
			fmt.Fprintf(w, "%s\tsum of %d\t%.1f\t%.1f\t%.1f\n%s\twhole\t\t%.1f\t\n", s.Quota, len(s.Leases), s.EqualShare, s.Held, s.Demand, s.Quota, s.Total)
		}
		if len(all) == 0 {
			fmt.Fprintln(w, "no process on record shares anything; quotas = true or work = true in [fleet] has nodes do so")
		}
	})
	for _, s := range all {
		if err == nil && s.Held > overheld*s.Total {
			return errFound
		}
	}
	return err
}

// story is all that is known of one process.
type story struct {
	audit.Process
	Spans  []audit.Span           `json:"spans"`
	Breaks []audit.LateSendReport `json:"breaks"`
	Events []audit.Event          `json:"events"`
}

func (a *app) why(x *audit.Audit, name string) error {
	var s story
	found := false
	for _, p := range x.Processes() {
		if p.Process == name {
			s.Process, found = p, true
		}
	}
	if !found {
		return fmt.Errorf("no process %q on record; fleet versions lists those that are", name)
	}
	for _, sp := range x.Spans() {
		if sp.Process == name {
			s.Spans = append(s.Spans, sp)
		}
	}
	for _, b := range x.LateSends() {
		if b.Process == name {
			s.Breaks = append(s.Breaks, b)
		}
	}
	s.Events = x.Events(name)
	if a.json {
		return a.table(s, "", nil)
	}
	fmt.Fprintf(a.out, "%s: %s (%s)", s.Process.Process, s.State, s.Confidence)
	if s.Why != "" {
		fmt.Fprintf(a.out, ": %s", s.Why)
	}
	fmt.Fprintln(a.out)
	for _, e := range s.Events {
		fmt.Fprintf(a.out, "  %s  %s\n", audit.FormatTime(e.At), e.Description)
	}
	for _, b := range s.Breaks {
		fmt.Fprintf(a.out, "sent %d or more to %s too late, the last %v after it was withdrawn:\n", b.MinSends, b.Server, b.Lateness.Round(time.Millisecond))
		for _, line := range b.Evidence {
			fmt.Fprintf(a.out, "  %s\n", line)
		}
	}
	return nil
}
