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

// withFields returns a request with so many further fields of a few bytes.
func withFields(request string, count int) string {
	return strings.Replace(request, "\r\n\r\n", "\r\n"+strings.Repeat("a:\r\n", count)+"\r\n", 1)
}

// Guards against heads of very many short fields, which take many times their bytes in memory: they get
// 431 before they are parsed, however they arrive.
func TestHeadsOfVeryManyFieldsAreRejected(t *testing.T) {
	t.Parallel()
	server := nodetest.NewScriptedServer(t, func(c net.Conn, r *http.Request) bool { return nodetest.WriteResponse(c, "200 OK", "served") })
	n := startNode(t, nodeConfig(t, nodetest.ClosedAddr(t), server.Addr))
	ordinary, long := getRequest("ordinary-ID"), withFields(getRequest("long"), 1500)
	lines := "POST /order HTTP/1.1\r\nHost: h\r\nRequest-Id: lines\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 2000\r\nContent-Length: 4000\r\n\r\n" + strings.Repeat("\r\n", 2000)
	for name, test := range map[string]struct {
		text  string
		piece int
		want  []int
	}{
		"at once":           {long, len(long), []int{431}},
		"in pieces":         {long, 100, []int{431}},
		"second":            {ordinary + long, 8 << 10, []int{200, 431}},
		"second, in pieces": {ordinary + long, 200, []int{200, 431}},
		"few fields":        {withFields(ordinary, 80), 50, []int{200}},
		"a few too many":    {withFields(ordinary, 101), 50, []int{431}},
		"lines in the body": {lines, len(lines), []int{200}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dial(t, n.url)
			go func() {
				for text := strings.ReplaceAll(test.text, "-ID", fmt.Sprintf("%x", name)); len(text) > 0; text = text[min(test.piece, len(text)):] {
					if _, err := io.WriteString(c, text[:min(test.piece, len(text))]); err != nil {
						return
					}
					time.Sleep(time.Millisecond)
				}
			}()
			var got []int
			for r := bufio.NewReader(c); len(got) < len(test.want); {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatalf("after %v: %v", got, err)
				}
				io.Copy(io.Discard, resp.Body)
				got = append(got, resp.StatusCode)
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
