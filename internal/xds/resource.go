// Package xds serves the state that package steer computes to other proxies over
// xDS: aggregated discovery (ADS) in the state-of-the-world and the incremental
// variant, load reporting (LRS) and client status discovery (CSDS).
//
//   - resource.go: resources and snapshots
//   - encode.go: conversion of a steer.State to resources
//   - session.go: protocol state of one stream, without I/O or clock; subscription.go: of one resource type on it
//   - stream.go, discovery.go, server.go: gRPC streams, their limits and counters
//   - load.go: load reports; status.go: client status
//   - identity.go: authentication and authorization of proxies
package xds

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// Type is an xDS resource type. The constants are in the order in which updates
// must be sent, so that no resource refers to one that the proxy does not have
// yet (make before break).
type Type int

// The resource types, in the order of updates.
const (
	Cluster Type = iota
	Endpoint
	Listener
	Route
	numTypes
)

var typeURLs = [numTypes]string{
	"type.googleapis.com/envoy.config.cluster.v3.Cluster",
	"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
	"type.googleapis.com/envoy.config.listener.v3.Listener",
	"type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
}

// URL returns the type URL used on the wire.
func (t Type) URL() string { return typeURLs[t] }

func (t Type) String() string { return [...]string{"CDS", "EDS", "LDS", "RDS"}[t] }

// sentInFull reports whether a state-of-the-world response holds all resources
// of the type, so that the proxy deletes those that are missing.
func (t Type) sentInFull() bool { return t == Cluster || t == Listener }

func typeFromURL(url string) (Type, bool) {
	i := slices.Index(typeURLs[:], url)
	return Type(i), i >= 0
}

// Resource is one resource, encoded once for all streams. It is immutable.
type Resource struct {
	Name    string
	Version string // content hash, so that it is the same on every control service and after a restart
	Body    *anypb.Any
	TTL     time.Duration // 0: does not expire

	activeAddrs []string // Endpoint: sorted addresses of the servers that get new requests
	clusterRefs []string // Route: clusters it refers to; aggregate Cluster: its members
}

// newResource encodes a message; its version is a hash of the encoding.
func newResource(name string, m proto.Message, ttl time.Duration) (*Resource, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(raw)
	url := "type.googleapis.com/" + string(m.ProtoReflect().Descriptor().FullName())
	return &Resource{Name: name, Version: hex.EncodeToString(sum[:8]), Body: &anypb.Any{TypeUrl: url, Value: raw}, TTL: ttl}, nil
}

// activeSubsetOf reports whether every active address of r is also active in other;
// other may be nil.
func (r *Resource) activeSubsetOf(other *Resource) bool {
	if other == nil {
		return len(r.activeAddrs) == 0
	}
	for _, addr := range r.activeAddrs {
		if _, ok := slices.BinarySearch(other.activeAddrs, addr); !ok {
			return false
		}
	}
	return true
}

// Snapshot holds all resources of one kind of proxy for one state. It is
// immutable.
type Snapshot struct {
	StateVersion uint64 // version of the steer.State it was encoded from
	resources    [numTypes]map[string]*Resource
}

// Get returns a resource, or nil if there is none with this name.
func (s *Snapshot) Get(t Type, name string) *Resource {
	if s == nil {
		return nil
	}
	return s.resources[t][name]
}

// Names returns the sorted names of all resources of a type.
func (s *Snapshot) Names(t Type) []string {
	if s == nil {
		return nil
	}
	names := make([]string, 0, len(s.resources[t]))
	for n := range s.resources[t] {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// combinedVersion returns one version for several resources.
func combinedVersion(set []*Resource) string {
	h := sha256.New()
	for _, r := range set {
		h.Write([]byte(r.Name + "\x00" + r.Version + "\x00"))
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

func sortByName(set []*Resource) {
	slices.SortFunc(set, func(a, b *Resource) int { return strings.Compare(a.Name, b.Name) })
}
