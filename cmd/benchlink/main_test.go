package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const upEvents = `{"up":{"seed":1,"profile_data":{"balancers":1,"caps":{"max_attempts":2},"classes":[{"name":"x","effect":"retryable",` +
	`"aim_ns":1000000000,"give_up_ns":2000000000,"importance":1}],"invariants":{"answer_slack_ns":1},"tick_ns":5000000}}},` +
	`{"roster_change":{"how":"C","version":1,"items":[{"backend":7,"zone":"z","state":"ready","nominal":1}]}}`

func batchLine(now int, events string) string {
	return fmt.Sprintf(`{"sim_time_ns":%d,"groups":[{"node_id":3,"happened":[%s]}]}`, now, events) + "\n"
}

func TestRepliesToEachBatch(t *testing.T) {
	in := `{"sim_time_ns":1,"groups":[]}` + "\n" + batchLine(1, upEvents) +
		batchLine(2, `{"submit":{"req":"q","band":"x","patience_left_ns":1000000000}}`) +
		batchLine(9, `{"attempt_end":{"req":"q","leg":0,"backend":7,"over":true,"delay_seen_ns":7,"disposition":0}}`) +
		batchLine(10, `{"retire":{}},`+upEvents)
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(replies) != 5 || replies[0] != `{"groups":[]}` || !strings.Contains(replies[2], `"assign":{"req":"q","backend":7`) {
		t.Errorf("replies %q", replies)
	}
}

func TestInvalidLineIsReportedByNumberWithoutReply(t *testing.T) {
	for _, invalid := range []string{"no json\n", batchLine(1, `{"submit":{"req":"q","patience_left_ns":1}}`), batchLine(1, `{"odd":{}}`)} {
		var out bytes.Buffer
		err := run(strings.NewReader(`{"sim_time_ns":1,"groups":[]}`+"\n"+invalid), &out)
		if err == nil || !strings.HasPrefix(err.Error(), "line 2: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", invalid, err)
		}
		if out.String() != "{\"groups\":[]}\n" {
			t.Errorf("%q: replied %q", invalid, out.String())
		}
	}
}

func TestLargeBatchIsAcceptedAndTruncatedBatchRejected(t *testing.T) {
	var submits []string
	for i := range 20000 {
		submits = append(submits, fmt.Sprintf(`{"submit":{"req":"q%d","band":"x","patience_left_ns":1000000000}}`, i))
	}
	input := batchLine(1, upEvents) + batchLine(2, strings.Join(submits, ","))
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil || bytes.Count(out.Bytes(), []byte("\n")) != 2 {
		t.Error(err)
	}
	if err := run(strings.NewReader(input[:len(input)/2]), &out); err == nil {
		t.Error("truncated batch was accepted")
	}
}
