package xds

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"

	adminv3 "github.com/envoyproxy/go-control-plane/envoy/admin/v3"
	statusv3 "github.com/envoyproxy/go-control-plane/envoy/service/status/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// statuses is the client status discovery service: what each proxy was sent
// and what it has acknowledged.
type statuses struct{ s *Server }

// FetchClientStatus answers once.
func (c statuses) FetchClientStatus(ctx context.Context, _ *statusv3.ClientStatusRequest) (*statusv3.ClientStatusResponse, error) {
	if err := c.may(ctx); err != nil {
		return nil, err
	}
	return c.s.clients(), nil
}

// StreamClientStatus answers each request.
func (c statuses) StreamClientStatus(g statusv3.ClientStatusDiscoveryService_StreamClientStatusServer) error {
	if err := c.may(g.Context()); err != nil {
		return err
	}
	for {
		if _, err := g.Recv(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if err := g.Send(c.s.clients()); err != nil {
			return err
		}
	}
}

func (c statuses) may(ctx context.Context) error {
	s := c.s
	id, err := identity(ctx, s.cfg.TLS == nil)
	if err == nil && !s.operator(id) {
		err = status.Error(codes.PermissionDenied, "client status is for operators")
	}
	if err != nil {
		s.Counters.StreamsRefused.Add(1)
		return s.refuse(ctx, "client status", id, err)
	}
	return nil
}

// clients lists all proxies, by name.
func (s *Server) clients() *statusv3.ClientStatusResponse {
	all := s.all()
	slices.SortFunc(all, func(a, b *stream) int { return strings.Compare(string(a.proxy), string(b.proxy)) })
	out := &statusv3.ClientStatusResponse{}
	for _, x := range all {
		out.Config = append(out.Config, x.status())
	}
	return out
}

func (x *stream) status() *statusv3.ClientConfig {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := &statusv3.ClientConfig{Node: x.node, ClientScope: string(x.proxy)}
	for t := range types {
		a := &x.session.asks[t]
		if !a.wanted {
			continue
		}
		names := map[string]bool{}
		for n := range a.names {
			names[n] = true
		}
		for n := range a.has {
			names[n] = true
		}
		for n := range a.refused {
			names[n] = true
		}
		sorted := make([]string, 0, len(names))
		for n := range names {
			sorted = append(sorted, n)
		}
		slices.Sort(sorted)
		for _, n := range sorted {
			c.GenericXdsConfigs = append(c.GenericXdsConfigs, x.one(t, a, n))
		}
	}
	return c
}

func (x *stream) one(t Type, a *ask, name string) *statusv3.ClientConfig_GenericXdsConfig {
	g := &statusv3.ClientConfig_GenericXdsConfig{TypeUrl: t.URL(), Name: name,
		ConfigStatus: statusv3.ConfigStatus_NOT_SENT, ClientStatus: adminv3.ClientResourceStatus_REQUESTED}
	want := x.snap.Get(t, name)
	if had, ok := a.has[name]; ok {
		g.VersionInfo = had.Version
		g.ConfigStatus, g.ClientStatus = statusv3.ConfigStatus_SYNCED, adminv3.ClientResourceStatus_ACKED
		if want == nil || want.Version != had.Version {
			g.ConfigStatus = statusv3.ConfigStatus_STALE
		}
	} else if want == nil {
		g.ClientStatus = adminv3.ClientResourceStatus_DOES_NOT_EXIST
	}
	if v, ok := a.refused[name]; ok {
		g.ConfigStatus, g.ClientStatus = statusv3.ConfigStatus_ERROR, adminv3.ClientResourceStatus_NACKED
		g.ErrorState = &adminv3.UpdateFailureState{VersionInfo: v, Details: a.nack}
	}
	return g
}
