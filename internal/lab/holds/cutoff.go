package holds

import (
	"fmt"
	"slices"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/scenario"
)

// cutOffMargin is how long before the client's deadline a node may end an answer that will be late.
const cutOffMargin = 300 * time.Millisecond

// CutOffAnswers returns a line for each answer that a node ended while its server was still to write the
// body, in the client's time, and in whose place the client got a refusal or a failure. Nodes that
// are told to end or die, and nodes and servers with disturbed links, are left out.
func CutOffAnswers(s *scenario.Scenario, h *history.History) (lines []string) {
	deadlines, ending := map[string]time.Duration{}, map[string]bool{}
	cuts := map[string]*history.Event{}
	for i := range h.Events {
		switch e := &h.Events[i]; e.Kind {
		case history.Try:
			deadlines[e.Try] = e.Deadline
		case history.NodeTerminating, history.NodeKilled, history.NodeForceKilled, history.NodeCrashed:
			ending[e.Node] = true
		case history.NodeReady:
			ending[e.Node] = false
		case history.BodyCutOff:
			if !ending[e.Node] && !linkDisturbed(s, e.Node, e.Server) {
				cuts[e.Try] = e
			}
		case history.Answer:
			cut := cuts[e.Try]
			if cut == nil || ending[cut.Node] || cut.At >= deadlines[e.Try]-cutOffMargin {
				continue
			}
			if e.Status == history.Refused || e.Status == history.Failed {
				lines = append(lines, fmt.Sprintf("%s: %s cut off the answer of %s at %v and answered %q at %v, its client waited until %v",
					e.Try, cut.Node, cut.Server, cut.At, e.Status, e.At, deadlines[e.Try]))
			}
		}
	}
	return lines
}

// linkDisturbed reports whether a fault of the scenario disturbs the links of a node or server.
func linkDisturbed(s *scenario.Scenario, names ...string) bool {
	for i := range s.Faults {
		f := &s.Faults[i]
		if f.Kind == scenario.FaultLink && slices.ContainsFunc(names, func(name string) bool { return slices.Contains(f.Targets, name) }) {
			return true
		}
	}
	return false
}
