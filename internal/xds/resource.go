// Package xds serves what is decided to other proxies over xDS: aggregated
// discovery in both its variants, load reports and client status. It decides
// nothing; what is served comes from package steer.
//
//   - resource.go: what is served, ready to be written
//   - encode.go: a steer.State as resources
//   - session.go: the protocol of one stream, without I/O or clock
//   - stream.go, server.go: streams of gRPC, their bounds and counters
//   - load.go: load reports; status.go: what each proxy has acknowledged
//   - identity.go: who a proxy is and what it may see
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

// Type is a type of resource. Their order is that in which an update must be
// sent, so that nothing refers to what a proxy does not have (make before
// break).
type Type int

const (
	Cluster Type = iota
	Endpoint
	Listener
	Route
	types
)

var urls = [types]string{
	"type.googleapis.com/envoy.config.cluster.v3.Cluster",
	"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
	"type.googleapis.com/envoy.config.listener.v3.Listener",
	"type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
}

// URL is the type's name on the wire.
func (t Type) URL() string { return urls[t] }

func (t Type) String() string { return [...]string{"CDS", "EDS", "LDS", "RDS"}[t] }

// whole types are sent in full by the state-of-the-world variant: what is not
// in a response is gone.
func (t Type) whole() bool { return t == Cluster || t == Listener }

func typeOf(url string) (Type, bool) {
	i := slices.Index(urls[:], url)
	return Type(i), i >= 0
}

// Resource is one resource, encoded once for all streams. It is never changed.
type Resource struct {
	Name    string
	Version string // made of the content alone: it means the same on every control service and after a restart
	Body    *anypb.Any
	TTL     time.Duration // 0: for ever

	live []string // Endpoint: sorted addresses that get new requests
	refs []string // Route: clusters that it names; Cluster: those it is made of
}

// newResource encodes a message.
func newResource(name string, m proto.Message, ttl time.Duration) (*Resource, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(raw)
	url := "type.googleapis.com/" + string(m.ProtoReflect().Descriptor().FullName())
	return &Resource{Name: name, Version: hex.EncodeToString(sum[:8]), Body: &anypb.Any{TypeUrl: url, Value: raw}, TTL: ttl}, nil
}

// covers says whether all that r lets requests go to is still let by o.
func (r *Resource) covers(o *Resource) bool {
	if o == nil {
		return len(r.live) == 0
	}
	for _, a := range r.live {
		if _, ok := slices.BinarySearch(o.live, a); !ok {
			return false
		}
	}
	return true
}

// Snapshot is all resources of one kind of proxy at one time. It is never
// changed.
type Snapshot struct {
	StateVersion uint64 // of the state that it was made of
	sets         [types]map[string]*Resource
}

// Get gives a resource, or nil.
func (s *Snapshot) Get(t Type, name string) *Resource {
	if s == nil {
		return nil
	}
	return s.sets[t][name]
}

// Names gives the sorted names of a type.
func (s *Snapshot) Names(t Type) []string {
	if s == nil {
		return nil
	}
	names := make([]string, 0, len(s.sets[t]))
	for n := range s.sets[t] {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// sum is one version for several resources.
func sum(set []*Resource) string {
	h := sha256.New()
	for _, r := range set {
		h.Write([]byte(r.Name + "\x00" + r.Version + "\x00"))
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

func sortByName(set []*Resource) {
	slices.SortFunc(set, func(a, b *Resource) int { return strings.Compare(a.Name, b.Name) })
}
