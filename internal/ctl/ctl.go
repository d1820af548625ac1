// Package ctl implements the command line of ivylockctl, which reads the records
// of processes from their consoles or from files and prints the results of package
// audit.
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

// Exit codes.
const (
	ExitOK            = 0
	ExitProblemsFound = 1 // late sends, a process that is behind, or another problem
	ExitUsage         = 2 // invalid arguments
	ExitNoRecords     = 3 // no record could be read
)

// errProblemsFound is returned by commands that have printed a problem.
var errProblemsFound = errors.New("found")

// errNoRecords is returned by commands that could not read any record.
var errNoRecords = errors.New("no record was to be had; name consoles with --console, or files with --file")

// invocation holds the output streams and flags of one invocation.
type invocation struct {
	stdout, stderr io.Writer
	sources        sources
	json           bool
	plot           string
	options        audit.Options
}

// Run runs the command given by args and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	inv := &invocation{stdout: stdout, stderr: stderr, options: audit.DefaultOptions()}
	root := inv.root()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	switch err := root.Execute(); {
	case err == nil:
		return ExitOK
	case errors.Is(err, errProblemsFound):
		return ExitProblemsFound
	case errors.Is(err, errNoRecords):
		fmt.Fprintln(stderr, "ivylockctl:", err)
		return ExitNoRecords
	default:
		fmt.Fprintln(stderr, "ivylockctl:", err)
		return ExitUsage
	}
}

func (inv *invocation) root() *cobra.Command {
	root := &cobra.Command{Use: "ivylockctl", Short: "inspects what the processes of a fleet have acted on", SilenceErrors: true, SilenceUsage: true}
	fleet := &cobra.Command{Use: "fleet", Short: "what the fleet's processes have acted on"}
	flags := fleet.PersistentFlags()
	flags.StringSliceVarP(&inv.sources.consoles, "console", "c", nil, "a process's console, host:port; several by commas")
	flags.StringSliceVarP(&inv.sources.files, "file", "f", nil, "a file of records; several by commas")
	flags.DurationVar(&inv.sources.timeout, "wait", 2*time.Second, "timeout for each console")
	flags.BoolVar(&inv.json, "json", false, "JSON in place of a table")
	flags.DurationVar(&inv.options.Grace, "grace", inv.options.Grace, "time after a withdrawal in which requests to the server are tolerated")
	flags.IntVar(&inv.options.FleetSize, "size", 0, "number of processes in the fleet; 0: as many as the records name")
	versions := inv.command("versions", "who acts on which version, and who is behind", inv.versions)
	versions.Flags().StringVar(&inv.plot, "plot", "", "draws the versions of each process over time into a file (.png, .svg or .pdf)")
	why := inv.command("why NODE", "one process: what it acted on, when, and what else is known", nil)
	why.Args = cobra.ExactArgs(1)
	why.RunE = func(_ *cobra.Command, args []string) error {
		return inv.withAudit(func(result *audit.Audit) error { return inv.why(result, args[0]) })
	}
	fleet.AddCommand(versions, why,
		inv.command("audit", "sends that happened although the sender, or another process, knew better", inv.lateSends),
		inv.command("proxies", "what the proxies of control services act on, and which of them are behind", inv.proxies),
		inv.command("members", "which members of the fleet each process considers alive", inv.members),
		inv.command("shares", "what each process holds of the fleet's shared quotas, and the sums", inv.quotas),
		inv.command("changes", "how long each version took to reach the fleet", inv.propagations))
	root.AddCommand(fleet)
	return root
}

func (inv *invocation) command(use, short string, run func(*audit.Audit) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return inv.withAudit(run) }}
}

// withAudit reads the records and runs a command on their audit.
func (inv *invocation) withAudit(run func(*audit.Audit) error) error {
	records, notes := inv.sources.read()
	for _, n := range notes {
		fmt.Fprintln(inv.stderr, "ivylockctl:", n)
	}
	if len(records) == 0 {
		return errNoRecords
	}
	return run(audit.New(records, inv.options))
}

// table prints a table with the given tab-separated header, or v as JSON if --json
// is set.
func (inv *invocation) table(v any, header string, rows func(w io.Writer)) error {
	if inv.json {
		encoder := json.NewEncoder(inv.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := tabwriter.NewWriter(inv.stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(w)
	return w.Flush()
}

func (inv *invocation) versions(result *audit.Audit) error {
	all := result.Processes()
	if inv.plot != "" {
		if err := plotSpans(result.Spans(), inv.plot); err != nil {
			return err
		}
	}
	err := inv.table(all, "process\tstate\tacts on\twithdrawals to\tbehind\tsettings\tbuild\tstanding\tsure\twhy", func(w io.Writer) {
		for _, p := range all {
			behind := "-"
			if p.GenerationsBehind > 0 {
				behind = fmt.Sprint(p.GenerationsBehind)
			}
			fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%s\t%04x\t%04x\t%s\t%s\t%s\n", p.Process, p.State, p.Version.List, p.AppliedVersion, behind,
				p.Version.Settings, p.Version.Build, orDash(p.Mode), p.Confidence, orDash(p.Why))
		}
	})
	for _, p := range all {
		if err == nil && p.State == audit.Behind {
			return errProblemsFound
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

func (inv *invocation) lateSends(result *audit.Audit) error {
	all := result.LateSends()
	err := inv.table(all, "process\tserver\twithdrawn by\tsends\tlast\tafter\tknew\tsure", func(w io.Writer) {
		for _, late := range all {
			knownBy, sends := "another", fmt.Sprint(late.MinSends)
			if late.SelfKnew {
				knownBy = "itself"
			}
			if late.MaxSends > late.MinSends {
				sends = fmt.Sprintf("%d to %d", late.MinSends, late.MaxSends)
			}
			fmt.Fprintf(w, "%s\t%s\t%v (%s)\t%s\t%s\t%v\t%s\t%s\n", late.Process, late.Server, late.Version, late.State, sends, audit.FormatTime(late.LastSend),
				late.Lateness.Round(time.Millisecond), knownBy, late.Confidence)
		}
		if len(all) == 0 {
			fmt.Fprintf(w, "none on record of %d processes; %d are unknown\n", len(result.Processes()), countUnknown(result))
		}
	})
	if err == nil && len(all) > 0 {
		return errProblemsFound
	}
	return err
}

func countUnknown(result *audit.Audit) int {
	n := 0
	for _, p := range result.Processes() {
		if p.State == audit.StateUnknown {
			n++
		}
	}
	return n
}

func (inv *invocation) propagations(result *audit.Audit) error {
	all := result.Propagations()
	formatDelay := func(d time.Duration) string {
		if d < 0 {
			return "never"
		}
		return d.Round(time.Millisecond).String()
	}
	return inv.table(all, "version\tfirst\tat\thalf\tnine in ten\tall\treached\tnever\tno record", func(w io.Writer) {
		for _, propagation := range all {
			fmt.Fprintf(w, "%v\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", propagation.Version, propagation.FirstProcess,
				audit.FormatTime(propagation.FirstAt), formatDelay(propagation.ToHalf), formatDelay(propagation.ToNineTenths), formatDelay(propagation.ToAll),
				propagation.Reached, len(propagation.NotReached), propagation.NoRecord)
		}
	})
}

// proxies prints the version that each proxy of the recorded control services acts
// on. A change of control service that led to an older version is a problem.
func (inv *invocation) proxies(result *audit.Audit) error {
	all := result.Proxies()
	err := inv.table(all, "proxy\tstate\tasks\taccepted\tacts on\tmoves\tsure\twhy", func(w io.Writer) {
		for _, p := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%d\t%s\t%s\n", p.Proxy, p.State, p.Service, p.Accepted, p.BasedOn, len(p.ServiceChanges), p.Confidence, orDash(p.Why))
		}
		if len(all) == 0 {
			fmt.Fprintln(w, "no control service is on record that steers a proxy; console or record_file in [control] has it tell")
		}
	})
	for _, p := range all {
		if err == nil && p.State == audit.Behind {
			return errProblemsFound
		}
	}
	if err == nil && len(result.Regressions()) > 0 {
		return errProblemsFound
	}
	return err
}

// members prints each process's view of the fleet's membership; members that are
// not alive are listed by name.
func (inv *invocation) members(result *audit.Audit) error {
	all := result.Views()
	err := inv.table(all, "process\talive\tof\tview\tmajority\tseats\tguards\tnot alive", func(w io.Writer) {
		for _, view := range all {
			guards := "answer"
			if !view.HasQuorum {
				guards = "too few"
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%08x\t%v\t%d\t%s\t%s\n", view.Process, view.Alive, view.Known, view.Digest, view.Majority, view.Slots, guards, orDash(strings.Join(view.NotAlive, ", ")))
		}
		if len(all) == 0 {
			fmt.Fprintln(w, "no process on record finds out who is alive; members = true in [fleet] has them do so")
		}
	})
	for _, view := range all {
		if err == nil && (len(view.NotAlive) > 0 || !view.Majority) {
			return errProblemsFound
		}
	}
	return err
}

// maxOvercommit is the tolerated ratio of the sum of all leases to the quota. It is
// above 1 because the records are taken at different times.
const maxOvercommit = 1.1

// quotas prints the leases of each shared quota and their sums.
func (inv *invocation) quotas(result *audit.Audit) error {
	all := result.SharedQuotas()
	err := inv.table(all, "whole\tprocess\tbase\theld\tneed", func(w io.Writer) {
		for _, quota := range all {
			for _, lease := range quota.Leases {
				fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\n", quota.Quota, lease.Process, lease.EqualShare, lease.Held, lease.Demand)
			}
			fmt.Fprintf(w, "%s\tsum of %d\t%.1f\t%.1f\t%.1f\n%s\twhole\t\t%.1f\t\n", quota.Quota, len(quota.Leases), quota.EqualShare, quota.Held, quota.Demand, quota.Quota, quota.Total)
		}
		if len(all) == 0 {
			fmt.Fprintln(w, "no process on record shares anything; quotas = true or work = true in [fleet] has nodes do so")
		}
	})
	for _, quota := range all {
		if err == nil && quota.Held > maxOvercommit*quota.Total {
			return errProblemsFound
		}
	}
	return err
}

// processHistory is the output of the why command for one process.
type processHistory struct {
	audit.Process
	Spans     []audit.Span           `json:"spans"`
	LateSends []audit.LateSendReport `json:"breaks"`
	Events    []audit.Event          `json:"events"`
}

func (inv *invocation) why(result *audit.Audit, name string) error {
	var history processHistory
	found := false
	for _, p := range result.Processes() {
		if p.Process == name {
			history.Process, found = p, true
		}
	}
	if !found {
		return fmt.Errorf("no process %q on record; fleet versions lists those that are", name)
	}
	for _, span := range result.Spans() {
		if span.Process == name {
			history.Spans = append(history.Spans, span)
		}
	}
	for _, late := range result.LateSends() {
		if late.Process == name {
			history.LateSends = append(history.LateSends, late)
		}
	}
	history.Events = result.Events(name)
	if inv.json {
		return inv.table(history, "", nil)
	}
	fmt.Fprintf(inv.stdout, "%s: %s (%s)", history.Process.Process, history.State, history.Confidence)
	if history.Why != "" {
		fmt.Fprintf(inv.stdout, ": %s", history.Why)
	}
	fmt.Fprintln(inv.stdout)
	for _, e := range history.Events {
		fmt.Fprintf(inv.stdout, "  %s  %s\n", audit.FormatTime(e.At), e.Description)
	}
	for _, late := range history.LateSends {
		fmt.Fprintf(inv.stdout, "sent %d or more to %s too late, the last %v after it was withdrawn:\n", late.MinSends, late.Server, late.Lateness.Round(time.Millisecond))
		for _, line := range late.Evidence {
			fmt.Fprintf(inv.stdout, "  %s\n", line)
		}
	}
	return nil
}
