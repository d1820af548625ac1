package front

import (
	"io"
	"net"
	"net/http"
	"testing"

	"ivylock/internal/invariant"
	"ivylock/internal/nodetest"
)

// Closing a connection with an unanswered request breaks an invariant, whatever code path
// closes it.
func TestClosedConnectionWithOpenRequestBreaksInvariant(t *testing.T) {
	t.Parallel()
	arrived := make(chan bool, 1)
	backend := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		arrived <- true
		io.Copy(io.Discard, c)
		return false
	})
	h := startHeldFrontUnchecked(t, nodeConfig(t, nodetest.ClosedAddr(t), backend.Addr))
	c := dial(t, h.url)
	io.WriteString(c, getRequest("open"))
	<-arrived
	h.front.clients.mu.Lock()
	for client := range h.front.clients.all {
		client.Close()
	}
	h.front.clients.mu.Unlock()
	waitFor(t, "the violation is counted", func() bool { return h.Metrics().InvariantViolations.Value(int(invariant.Unanswered)) == 1 })
}
