package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"ivylock/internal/console"
	"ivylock/internal/recordfile"
	"ivylock/maintenance"
)

// Ready tells whether a list has come and the service keeps up.
func (s *Service) Ready() bool { return s.Engine.Alive() && s.Engine.PublishedStates.Load() > 0 }

// Figures gives the service's counts as a node's console gives its.
func (s *Service) Figures() []byte {
	var out []byte
	for _, c := range s.all() {
		out = fmt.Appendf(out, "app.control.%s:%d|%s\n", c.name, c.value, c.kind)
	}
	return out
}

// Maintain: servers are taken out of use at nodes and by discovery, not here.
func (s *Service) Maintain(context.Context, string, bool) error { return maintenance.ErrUnknown }

// FleetRecord gives what the service has on record, for operators.
func (s *Service) FleetRecord(context.Context) ([]byte, error) {
	r := s.steered.record()
	return json.Marshal(&r)
}

// tell serves operators, and writes the record, where the operator's file has it so.
// The end closes and writes it a last time, as that of a process that ended in order.
func (s *Service) tell(ctx context.Context) (end func(), err error) {
	var calls *console.Server
	if s.cfg.Console != "" {
		l, err := net.Listen("tcp", s.cfg.Console)
		if err != nil {
			return nil, fmt.Errorf("console: %w", err)
		}
		s.log.Info("hears operators", "console", l.Addr().String())
		calls = console.New(l, s)
		go func() {
			if err := calls.Serve(); err != nil && !errors.Is(err, net.ErrClosed) {
				s.log.Error("console", "err", err)
			}
		}()
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		if s.cfg.RecordFile == "" {
			return
		}
		every := time.NewTicker(s.cfg.RecordEvery.Duration)
		defer every.Stop()
		for {
			select {
			case <-every.C:
				s.write(false)
			case <-ctx.Done():
				s.write(true)
				return
			}
		}
	}()
	return func() {
		if calls != nil {
			calls.Close()
		}
		<-written
	}, nil
}

func (s *Service) write(ended bool) {
	r := s.steered.record()
	r.Ended = ended
	if err := recordfile.Append(s.cfg.RecordFile, &r); err != nil {
		s.log.Warn("the record is not written", "err", err)
	}
}
