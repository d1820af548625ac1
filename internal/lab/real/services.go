package real

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"ivylock/fleet/member"
	"ivylock/internal/lab/process"
)

// Services are the control services of the run, that are of the fleet.
func (h *Hall) Services() []*process.Node { return h.services }

// CutService lets no datagram pass between a control service and some nodes, by number,
// or ends that.
func (h *Hall) CutService(k int, nodes []int, cut bool) {
	var ways [][2]int
	for _, n := range nodes {
		ways = append(ways, [2]int{n, len(h.nodes) + k}, [2]int{len(h.nodes) + k, n})
	}
	if cut {
		h.setWays(ways, &blackHole)
	} else {
		h.setWays(ways, nil)
	}
}

// name is a process's name by number.
func (h *Hall) name(number int) string {
	if k := number - len(h.nodes); k >= 0 {
		return fmt.Sprintf("c%d", k)
	}
	return h.nodes[number].Name
}

func (h *Hall) startServices() error {
	for k := range h.o.Guards {
		s, err := h.startService(k)
		if err != nil {
			return err
		}
		h.mu.Lock()
		h.services = append(h.services, s)
		h.mu.Unlock()
	}
	return nil
}

// startService starts a control service.
func (h *Hall) startService(k int) (*process.Node, error) {
	name := h.name(len(h.nodes) + k)
	discovery, err := h.hosts.Listen(name)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(h.dir, name+".toml")
	text := fmt.Sprintf("[fleet]\n%s\n[control]\nname = %q\nlisten = \"127.0.0.1:0\"\nplain_text = true\ndiscovery = %q\nconsole = \"127.0.0.1:0\"\n"+
		"fleet_listen = \"127.0.0.1:0\"\nfleet_id = %d\nfleet_seeds = [%q, %q]\n[[control.service]]\nname = \"clips\"\n"+
		"[[control.service.class]]\nname = \"fetch\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"5s\"\n",
		h.s.Oper+"\n"+h.o.Fleet, name, discovery, member.FirstControlID+k, h.relays[0].Addr(), h.relays[1].Addr())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s, err := process.Control(h.o.Control, path, name)
	if err != nil {
		return nil, err
	}
	at, err := netip.ParseAddrPort(s.PeerAddr())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	h.from.Store(at, len(h.nodes)+k)
	return s, nil
}
