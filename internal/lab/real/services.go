package real

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"ivylock/fleet/member"
	"ivylock/internal/lab/process"
)

// ControlServices returns the control services that are members of the fleet.
func (b *Testbed) ControlServices() []*process.Process { return b.controlServices }

// SetServicePartition drops all datagrams between a control service and some nodes, by number, or
// lets them pass again.
func (b *Testbed) SetServicePartition(k int, nodes []int, cut bool) {
	var pairs [][2]int
	for _, n := range nodes {
		pairs = append(pairs, [2]int{n, len(b.nodes) + k}, [2]int{len(b.nodes) + k, n})
	}
	if cut {
		b.setImpairments(pairs, &blackHole)
	} else {
		b.setImpairments(pairs, nil)
	}
}

// processName returns the name of a node or a control service by its number.
func (b *Testbed) processName(number int) string {
	if k := number - len(b.nodes); k >= 0 {
		return fmt.Sprintf("c%d", k)
	}
	return b.nodes[number].Name
}

func (b *Testbed) startServices() error {
	for k := range b.options.ControlServices {
		s, err := b.startService(k)
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.controlServices = append(b.controlServices, s)
		b.mu.Unlock()
	}
	return nil
}

// startService writes the configuration of a control service and starts it.
func (b *Testbed) startService(k int) (*process.Process, error) {
	name := b.processName(len(b.nodes) + k)
	discovery, err := b.hosts.Listen(name)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(b.dir, name+".toml")
	text := fmt.Sprintf("[fleet]\n%s\n[control]\nname = %q\nlisten = \"127.0.0.1:0\"\nplain_text = true\ndiscovery = %q\nconsole = \"127.0.0.1:0\"\n"+
		"fleet_listen = \"127.0.0.1:0\"\nfleet_id = %d\nfleet_seeds = [%q, %q]\n[[control.service]]\nname = \"clips\"\n"+
		"[[control.service.class]]\nname = \"fetch\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"5s\"\n",
		b.scenario.OperatorConfig+"\n"+b.options.FleetSettings, name, discovery, member.FirstControlID+k, b.relays[0].Addr(), b.relays[1].Addr())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s, err := process.StartControl(b.options.ControlProgram, path, name)
	if err != nil {
		return nil, err
	}
	at, err := netip.ParseAddrPort(s.PeerAddr())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	b.senders.Store(at, len(b.nodes)+k)
	return s, nil
}
