package xds

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	lrsv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	statusv3 "github.com/envoyproxy/go-control-plane/envoy/service/status/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ivylock/steer"
)

// authority makes certificates for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	n    int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true,
		BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign}
	raw, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, _ = x509.ParseCertificate(raw)
	return a
}

// issue makes a certificate with names, a server's if there are none.
func (a *authority) issue(names ...string) (certPEM, keyPEM []byte) {
	a.t.Helper()
	a.n++
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(a.n + 1), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	for _, n := range names {
		u, err := url.Parse(n)
		if err != nil {
			a.t.Fatal(err)
		}
		tmpl.URIs = append(tmpl.URIs, u)
	}
	raw, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	der, _ := x509.MarshalECPrivateKey(key)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der})
}

func (a *authority) client(names ...string) grpc.DialOption { return a.clientOf(a, names...) }

// clientOf gives a client of this authority that trusts the servers of another.
func (a *authority) clientOf(servers *authority, names ...string) grpc.DialOption {
	a.t.Helper()
	cert, key := a.issue(names...)
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		a.t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(servers.cert)
	return grpc.WithTransportCredentials(credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool}))
}

// files writes a server's certificate, key and the authority.
func (a *authority) files(dir string) (cert, key, ca string) {
	a.t.Helper()
	c, k := a.issue()
	cert, key, ca = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")
	for path, raw := range map[string][]byte{cert: c, key: k, ca: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})} {
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
	return cert, key, ca
}

const who = "spiffe://example.org/proxy/"

func TestOnlyWhoMaySeesAService(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	certs, err := LoadCertificates(ca.files(t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	second := clips()
	second.Name = "scores"
	s, addr := up(t, Config{TLS: certs, Access: Access{Services: []*Service{clips(), second}, Operators: []string{"spiffe://example.org/operator"},
		AllowedIdentities: map[string][]string{"clips": {who + "*"}, "scores": {who + "two"}}}})
	s.Publish(state(1, steer.Healthy))
	clusters := func(creds grpc.DialOption) (int, error) {
		g, err := discoveryv3.NewAggregatedDiscoveryServiceClient(dial(t, addr, creds)).StreamAggregatedResources(within(t))
		if err != nil {
			return 0, err
		}
		g.Send(&discoveryv3.DiscoveryRequest{Node: node("n"), TypeUrl: Listener.URL()})
		m, err := g.Recv()
		return len(m.GetResources()), err
	}
	for _, c := range []struct {
		name  string
		creds grpc.DialOption
		code  codes.Code
		sees  int
	}{
		{"one", ca.client(who + "one"), codes.OK, 1},
		{"two", ca.client(who + "two"), codes.OK, 2},
		{"a stranger", ca.client("spiffe://example.org/elsewhere"), codes.PermissionDenied, 0},
		{"no name", ca.client(), codes.Unauthenticated, 0},
		{"two names", ca.client(who+"one", who+"two"), codes.Unauthenticated, 0},
		{"another authority", other.clientOf(ca, who+"one"), codes.Unavailable, 0},
		{"plain text", grpc.WithTransportCredentials(insecure.NewCredentials()), codes.Unavailable, 0},
	} {
		n, err := clusters(c.creds)
		if status.Code(err) != c.code || n != c.sees {
			t.Errorf("%s: %d services, %v", c.name, n, err)
		}
	}
	for _, c := range []struct {
		name string
		code codes.Code
	}{{"spiffe://example.org/operator", codes.OK}, {who + "one", codes.PermissionDenied}} {
		_, err := statusv3.NewClientStatusDiscoveryServiceClient(dial(t, addr, ca.client(c.name))).FetchClientStatus(within(t), &statusv3.ClientStatusRequest{})
		if status.Code(err) != c.code {
			t.Errorf("client status for %s: %v", c.name, err)
		}
	}
	g, err := lrsv3.NewLoadReportingServiceClient(dial(t, addr, ca.client("spiffe://example.org/elsewhere"))).StreamLoadStats(within(t))
	if err == nil {
		g.Send(&lrsv3.LoadStatsRequest{Node: node("n")})
		_, err = g.Recv()
	}
	if status.Code(err) != codes.PermissionDenied {
		t.Errorf("load reports of a stranger: %v", err)
	}
}

// Certificates are replaced under a stream that stands; a bad file changes
// nothing; who loses its right loses its stream.
func TestReloadKeepsStreams(t *testing.T) {
	ca, next := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	certs, err := LoadCertificates(ca.files(dir))
	if err != nil {
		t.Fatal(err)
	}
	access := Access{Services: []*Service{clips()}, AllowedIdentities: map[string][]string{"clips": {who + "*"}}}
	s, addr := up(t, Config{TLS: certs, Access: access})
	s.Publish(state(1, steer.Healthy))
	g := open(t, dial(t, addr, ca.client(who+"one")))
	names := []string{"clips/other"}
	send(t, g, &discoveryv3.DiscoveryRequest{Node: node("n"), TypeUrl: Endpoint.URL(), ResourceNames: names})
	m := recv(t, g)

	if err := os.WriteFile(filepath.Join(dir, "key.pem"), []byte("nonsense"), 0o600); err != nil {
		t.Fatal(err)
	}
	if certs.Reload() == nil {
		t.Error("a bad key is taken")
	}
	two := open(t, dial(t, addr, ca.client(who+"two")))
	send(t, two, &discoveryv3.DiscoveryRequest{Node: node("two"), TypeUrl: Endpoint.URL(), ResourceNames: names})
	recv(t, two)
	next.files(dir)
	if err := certs.Reload(); err != nil {
		t.Fatal(err)
	}
	n := open(t, dial(t, addr, next.client(who+"three")))
	send(t, n, &discoveryv3.DiscoveryRequest{Node: node("m"), TypeUrl: Endpoint.URL(), ResourceNames: names})
	recv(t, n)
	// The old stream goes on under the certificate that it came with.
	send(t, g, &discoveryv3.DiscoveryRequest{TypeUrl: Endpoint.URL(), ResourceNames: names, ResponseNonce: m.Nonce})
	s.Publish(state(2, steer.Draining))
	m = recv(t, g)
	send(t, g, &discoveryv3.DiscoveryRequest{TypeUrl: Endpoint.URL(), ResourceNames: names, ResponseNonce: m.Nonce})
	access.AllowedIdentities = map[string][]string{"clips": {who + "three"}}
	s.SetAccess(access)
	if _, err := g.Recv(); status.Code(err) != codes.PermissionDenied {
		t.Errorf("after its right was taken: %v", err)
	}
}

func TestMatches(t *testing.T) {
	for _, c := range []struct {
		pattern, name string
		want          bool
	}{
		{"*", "x", true}, {"spiffe://a/b", "spiffe://a/b", true}, {"spiffe://a/b", "spiffe://a/bc", false},
		{"spiffe://a/*", "spiffe://a/b/c", true}, {"spiffe://a/*", "spiffe://a/", false}, {"spiffe://a/b*", "spiffe://a/bc", false},
		{"spiffe://a/*", "spiffe://ab/c", false}, {"", "", true},
	} {
		if got := Matches(c.pattern, c.name); got != c.want {
			t.Errorf("%q for %q: %v", c.pattern, c.name, got)
		}
	}
}
