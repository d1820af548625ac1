package node

import (
	"testing"
	"time"

	"ivylock/fleet/version"
	"ivylock/internal/operator"
)

// A hanging disk delays the exit by no more than the limit for the last record.
func TestHangingDiskDoesNotBlockShutdown(t *testing.T) {
	c := testConfig(t, "127.0.0.1:1")
	c.Settings.MayMessage = true
	c.PeerListen, c.Peers, c.PeerBroadcast = "127.0.0.1:0", []string{"127.0.0.1:1"}, "127.0.0.1:2"
	var section operator.Fleet
	c.Fleet = &FleetConfig{Member: section.MemberConfig(), RecordFile: "record", RecordInterval: time.Hour}
	n := New(c)
	hangs := make(chan bool)
	defer close(hangs)
	n.fleet.appendRecord = func(string, *version.Record) error {
		<-hangs
		return nil
	}
	start := time.Now()
	n.writeFinalRecord()
	if took := time.Since(start); took > 10*finalRecordTimeout {
		t.Errorf("the exit took %v", took)
	}
}
