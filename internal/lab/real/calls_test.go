package real

import (
	"fmt"
	"strings"
	"testing"
)

// Half of the calls fail, of each kind with each of its errors: no process ends and clients are served.
func TestRulesHoldWhenSystemCallsFail(t *testing.T) {
	t.Parallel()
	for call, errors := range map[string][]string{
		"accept":  {"ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EPERM", "ENETDOWN", "EHOSTUNREACH", "EINTR"},
		"socket":  {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"},
		"connect": {"EADDRNOTAVAIL", "EAGAIN", "ENETUNREACH", "EHOSTUNREACH", "EPERM", "ENOBUFS", "EINTR", "ETIMEDOUT"},
		"sendto":  {"ENOBUFS", "EPERM", "ECONNREFUSED", "EMSGSIZE", "EHOSTUNREACH", "EINTR"},
		"receive": {"ECONNREFUSED", "ENOMEM", "EINTR"},
	} {
		t.Run(call, func(t *testing.T) {
			t.Parallel()
			text := ""
			for i, name := range errors {
				text += fmt.Sprintf("[[fault]]\nat = \"%dms\"\nfor = \"700ms\"\nwhat = \"system-calls\"\nwho = [\"n0\", \"n1\"]\ncall = %q\nerror = %q\npart = 0.5\n", 500+i*600, call, name)
			}
			// Closing idle connections makes the nodes open new ones all the time.
			for at := 300; at < 500+600*len(errors); at += 200 {
				text += fmt.Sprintf("[[fault]]\nat = \"%dms\"\nwhat = \"idle-close\"\nwho = [\"hall-nord\", \"hall-syd\"]\n", at)
			}
			runScenario(t, fmt.Sprintf("name = \"calls\"\nlength = \"%dms\"\nfleet = true\n[load]\nrate = 40.0\n[net]\nmessages = \"5ms\"\n%s%s", 2000+600*len(errors),
				strings.Replace(twoZones, "served = 0.5", "served = 0.8", 1), text))
		})
	}
}
