package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ivylock/internal/nodetest"
)

// Guards against dropping pipelined requests that have been read because connections are closed after
// their answers near the connection limit.
func TestPipelinedRequestsNearConnectionLimitAreAnswered(t *testing.T) {
	t.Parallel()
	const count = 5
	server := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		time.Sleep(20 * time.Millisecond) // what follows is read meanwhile
		return nodetest.WriteResponse(c, "200 OK", r.Header.Get("Request-Id"))
	})
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), server.Addr))
	n.front.SetMaxConns(1)
	c := dial(t, n.url)
	var text strings.Builder
	for i := range count {
		text.WriteString(getRequest(fmt.Sprint("p", i)))
	}
	io.WriteString(c, text.String())
	r := bufio.NewReader(c)
	for i := range count {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		body, _ := io.ReadAll(resp.Body)
		if want := fmt.Sprint("p", i); resp.StatusCode != http.StatusOK || string(body) != want {
			t.Errorf("answer %d: %s %q", i, resp.Status, body)
		}
		if last := i == count-1; resp.Close != last {
			t.Errorf("answer %d: close %v, want %v", i, resp.Close, last)
		}
	}
}
