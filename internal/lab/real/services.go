package real

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"ivylock/fleet/member"
	"ivylock/internal/lab/process"
)

// ControlServices are the control services of the run, that are of the fleet.
func (h *Testbed) ControlServices() []*process.Process { return h.services }

// SetServicePartition lets no datagram pass between a control service and some nodes, by number,
// or ends that.
func (h *Testbed) SetServicePartition(k int, nodes []int, cut bool) {
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
func (h *Testbed) name(number int) string {
	if k := number - len(h.nodes); k >= 0 {
		return fmt.Sprintf("c%d", k)
	}
	return h.nodes[number].Name
}

func (h *Testbed) startServices() error {
	for k := range h.o.ControlServices {
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
func (h *Testbed) startService(k int) (*process.Process, error) {
	name := h.name(len(h.nodes) + k)
	discovery, err := h.hosts.Listen(name)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(h.dir, name+".toml")
	text := fmt.Sprintf("[fleet]\n%s\n[control]\nname = %q\nlisten = \"127.0.0.1:0\"\nplain_text = true\ndiscovery = %q\nconsole = \"127.0.0.1:0\"\n"+
		"fleet_listen = \"127.0.0.1:0\"\nfleet_id = %d\nfleet_seeds = [%q, %q]\n[[control.service]]\nname = \"clips\"\n"+
		"[[control.service.class]]\nname = \"fetch\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"5s\"\n",
		h.s.Oper+"\n"+h.o.FleetSettings, name, discovery, member.FirstControlID+k, h.relays[0].Addr(), h.relays[1].Addr())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s, err := process.StartControl(h.o.ControlProgram, path, name)
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
