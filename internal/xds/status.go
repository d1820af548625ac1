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

// clientStatusService implements the client status discovery service (CSDS),
// which shows the resources that each proxy was sent and has acknowledged.
type clientStatusService struct{ s *Server }

// FetchClientStatus returns the status of all proxies.
func (c clientStatusService) FetchClientStatus(ctx context.Context, _ *statusv3.ClientStatusRequest) (*statusv3.ClientStatusResponse, error) {
	if err := c.authorize(ctx); err != nil {
		return nil, err
	}
	return c.s.clientStatuses(), nil
}

// StreamClientStatus returns the status of all proxies for each request.
func (c clientStatusService) StreamClientStatus(g statusv3.ClientStatusDiscoveryService_StreamClientStatusServer) error {
	if err := c.authorize(g.Context()); err != nil {
		return err
	}
	for {
		if _, err := g.Recv(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if err := g.Send(c.s.clientStatuses()); err != nil {
			return err
		}
	}
}

func (c clientStatusService) authorize(ctx context.Context) error {
	s := c.s
	id, err := identity(ctx, s.cfg.TLS == nil)
	if err == nil && !s.isOperator(id) {
		err = status.Error(codes.PermissionDenied, "client status is for operators")
	}
	if err != nil {
		s.Counters.StreamsRefused.Add(1)
		return s.rejectStream(ctx, clientStatusName, id, err)
	}
	return nil
}

// clientStatuses returns the status of all streams, sorted by proxy.
func (s *Server) clientStatuses() *statusv3.ClientStatusResponse {
	all := s.openStreams()
	slices.SortFunc(all, func(a, b *stream) int { return strings.Compare(string(a.proxy), string(b.proxy)) })
	out := &statusv3.ClientStatusResponse{}
	for _, x := range all {
		out.Config = append(out.Config, x.clientConfig())
	}
	return out
}

func (x *stream) clientConfig() *statusv3.ClientConfig {
	x.mu.Lock()
	defer x.mu.Unlock()
	config := &statusv3.ClientConfig{Node: x.node, ClientScope: string(x.proxy)}
	for t := range numTypes {
		sub := &x.session.subscriptions[t]
		if !sub.active {
			continue
		}
		names := map[string]bool{}
		for n := range sub.names {
			names[n] = true
		}
		for n := range sub.held {
			names[n] = true
		}
		for n := range sub.rejected {
			names[n] = true
		}
		sorted := make([]string, 0, len(names))
		for n := range names {
			sorted = append(sorted, n)
		}
		slices.Sort(sorted)
		for _, n := range sorted {
			config.GenericXdsConfigs = append(config.GenericXdsConfigs, x.resourceStatus(t, sub, n))
		}
	}
	return config
}

func (x *stream) resourceStatus(t Type, sub *subscription, name string) *statusv3.ClientConfig_GenericXdsConfig {
	result := &statusv3.ClientConfig_GenericXdsConfig{TypeUrl: t.URL(), Name: name,
		ConfigStatus: statusv3.ConfigStatus_NOT_SENT, ClientStatus: adminv3.ClientResourceStatus_REQUESTED}
	want := x.snapshot.Get(t, name)
	if held, ok := sub.held[name]; ok {
		result.VersionInfo = held.Version
		result.ConfigStatus, result.ClientStatus = statusv3.ConfigStatus_SYNCED, adminv3.ClientResourceStatus_ACKED
		if want == nil || want.Version != held.Version {
			result.ConfigStatus = statusv3.ConfigStatus_STALE
		}
	} else if want == nil {
		result.ClientStatus = adminv3.ClientResourceStatus_DOES_NOT_EXIST
	}
	if v, ok := sub.rejected[name]; ok {
		result.ConfigStatus, result.ClientStatus = statusv3.ConfigStatus_ERROR, adminv3.ClientResourceStatus_NACKED
		result.ErrorState = &adminv3.UpdateFailureState{VersionInfo: v, Details: sub.nackReason}
	}
	return result
}
