package front

import (
	"io"
	"net"
	"net/http"
	"testing"

	"ivylock/internal/invariant"
	"ivylock/internal/nodetest"
)

// A connection that is closed under a request which has no answer is a violation, and is seen
// by what was done: here it is closed without asking anybody.
func TestAConnectionClosedUnderARequestIsCounted(t *testing.T) {
	t.Parallel()
	arrived := make(chan bool, 1)
	b := nodetest.NewRawServer(t, func(c net.Conn, r *http.Request) bool {
		arrived <- true
		io.Copy(io.Discard, c)
		return false
	})
	h := startHeldUnchecked(t, nodeConfig(t, nodetest.ClosedAddr(t), b.Addr))
	c := dial(t, h.url)
	io.WriteString(c, get("open"))
	<-arrived
	h.front.clients.mu.Lock()
	for k := range h.front.clients.all {
		k.Close()
	}
	h.front.clients.mu.Unlock()
	wait(t, "the violation is counted", func() bool { return h.Metrics().InvariantsBroken.Of(int(invariant.Unanswered)) == 1 })
}
