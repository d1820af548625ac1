package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"ivylock/internal/console"
	"ivylock/internal/listen"
	"ivylock/internal/recordfile"
	"ivylock/maintenance"
)

// Ready reports whether a state has been published and the event loop is not stalled.
func (s *Service) Ready() bool { return s.Engine.Alive() && s.Engine.PublishedStates.Load() > 0 }

// MetricsText returns the service's metrics, one line app.control.NAME:VALUE|KIND each, where KIND
// is c for a counter and g for a gauge.
func (s *Service) MetricsText() []byte {
	var text []byte
	for _, metric := range s.metrics() {
		text = fmt.Appendf(text, "app.control.%s:%d|%s\n", metric.name, metric.value, metric.kind)
	}
	return text
}

// SetMaintenance always returns maintenance.ErrUnknown: the control service keeps no maintenance
// state. Servers are put into maintenance at nodes or in discovery.
func (s *Service) SetMaintenance(context.Context, string, bool) error { return maintenance.ErrUnknown }

// FleetRecord returns the record of the service and its proxies as JSON.
func (s *Service) FleetRecord(context.Context) ([]byte, error) {
	record := s.proxies.record()
	return json.Marshal(&record)
}

// startOperatorServices starts the console and the periodic record file, if configured. stop
// closes the console and waits for the last record, which is marked as the final one.
func (s *Service) startOperatorServices(ctx context.Context) (stop func(), err error) {
	var server *console.Server
	if s.config.Console != "" {
		listener, err := listen.TCP(ctx, s.config.Console)
		if err != nil {
			return nil, fmt.Errorf("console: %w", err)
		}
		s.log.Info("hears operators", "console", listener.Addr().String())
		server = console.New(listener, s)
		go func() {
			if err := server.Serve(); err != nil && !errors.Is(err, net.ErrClosed) {
				s.log.Error("console", "err", err)
			}
		}()
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		if s.config.RecordFile == "" {
			return
		}
		ticker := time.NewTicker(s.config.RecordInterval.Duration)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.writeRecord(false)
			case <-ctx.Done():
				s.writeRecord(true)
				return
			}
		}
	}()
	return func() {
		if server != nil {
			server.Close()
		}
		<-written
	}, nil
}

func (s *Service) writeRecord(final bool) {
	record := s.proxies.record()
	record.Ended = final
	if err := recordfile.Append(s.config.RecordFile, &record); err != nil {
		s.log.Warn("cannot write the record", "err", err)
	}
}
