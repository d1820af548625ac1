package holds

import (
	"testing"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/scenario"
)

// Only an answer that the node itself ended in the client's time counts as cut off.
func TestCutOffAnswers(t *testing.T) {
	const second = time.Second
	try := history.Event{Kind: history.Try, Try: "t", Node: "n0", Deadline: 3 * second}
	cut := history.Event{At: second, Kind: history.BodyCutOff, Try: "t", Node: "n0", Server: "s"}
	refused := history.Event{At: second, Kind: history.Answer, Try: "t", Status: history.Refused}
	served, late := refused, cut
	served.Status, late.At = history.Served, 3*second-cutOffMargin
	ending := history.Event{Kind: history.NodeTerminating, Node: "n0"}
	link := []scenario.Fault{{Kind: scenario.FaultLink, Targets: []string{"s"}}}
	for name, test := range map[string]struct {
		events []history.Event
		faults []scenario.Fault
		want   int
	}{
		"cut off":                  {[]history.Event{try, cut, refused}, nil, 1},
		"served by another":        {[]history.Event{try, cut, served}, nil, 0},
		"at the client's deadline": {[]history.Event{try, late, refused}, nil, 0},
		"by a node that ends":      {[]history.Event{try, ending, cut, refused}, nil, 0},
		"by a disturbed link":      {[]history.Event{try, cut, refused}, link, 0},
		"of another try":           {[]history.Event{try, refused}, nil, 0},
	} {
		got := CutOffAnswers(&scenario.Scenario{Faults: test.faults}, &history.History{Events: test.events})
		if len(got) != test.want {
			t.Errorf("%s: %q", name, got)
		}
	}
}
