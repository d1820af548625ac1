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

// authority is a CA for tests.
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

// issue issues a certificate with the given URI names.
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

// clientOf returns client credentials issued by a that trust the servers of another CA.
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

// files writes a server certificate, its key and the CA certificate.
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

const proxyPrefix = "spiffe://example.org/proxy/"

func TestServicesAreVisibleToAllowedIdentitiesOnly(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	certs, err := LoadCertificates(ca.files(t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	second := testService()
	second.Name = "scores"
	s, addr := startServer(t, Config{TLS: certs, Access: Access{Services: []*Service{testService(), second}, Operators: []string{"spiffe://example.org/operator"},
		AllowedIdentities: map[string][]string{"clips": {proxyPrefix + "*"}, "scores": {proxyPrefix + "two"}}}})
	s.Publish(testState(1, steer.Healthy))
	clusters := func(creds grpc.DialOption) (int, error) {
		g, err := discoveryv3.NewAggregatedDiscoveryServiceClient(dial(t, addr, creds)).StreamAggregatedResources(timeoutContext(t))
		if err != nil {
			return 0, err
		}
		g.Send(&discoveryv3.DiscoveryRequest{Node: node("n"), TypeUrl: Listener.URL()})
		m, err := g.Recv()
		return len(m.GetResources()), err
	}
	for _, c := range []struct {
		name     string
		creds    grpc.DialOption
		code     codes.Code
		services int
	}{
		{"one", ca.client(proxyPrefix + "one"), codes.OK, 1},
		{"two", ca.client(proxyPrefix + "two"), codes.OK, 2},
		{"unknown identity", ca.client("spiffe://example.org/elsewhere"), codes.PermissionDenied, 0},
		{"no SPIFFE ID", ca.client(), codes.Unauthenticated, 0},
		{"two SPIFFE IDs", ca.client(proxyPrefix+"one", proxyPrefix+"two"), codes.Unauthenticated, 0},
		{"another CA", other.clientOf(ca, proxyPrefix+"one"), codes.Unavailable, 0},
		{"plain text", grpc.WithTransportCredentials(insecure.NewCredentials()), codes.Unavailable, 0},
	} {
		n, err := clusters(c.creds)
		if status.Code(err) != c.code || n != c.services {
			t.Errorf("%s: %d services, %v", c.name, n, err)
		}
	}
	for _, c := range []struct {
		name string
		code codes.Code
	}{{"spiffe://example.org/operator", codes.OK}, {proxyPrefix + "one", codes.PermissionDenied}} {
		_, err := statusv3.NewClientStatusDiscoveryServiceClient(dial(t, addr, ca.client(c.name))).FetchClientStatus(timeoutContext(t), &statusv3.ClientStatusRequest{})
		if status.Code(err) != c.code {
			t.Errorf("client status for %s: %v", c.name, err)
		}
	}
	g, err := lrsv3.NewLoadReportingServiceClient(dial(t, addr, ca.client("spiffe://example.org/elsewhere"))).StreamLoadStats(timeoutContext(t))
	if err == nil {
		g.Send(&lrsv3.LoadStatsRequest{Node: node("n")})
		_, err = g.Recv()
	}
	if status.Code(err) != codes.PermissionDenied {
		t.Errorf("load reports of an unknown identity: %v", err)
	}
}

// Replacing certificates must not affect open streams, an invalid file must not
// replace anything, and a proxy that loses its permission must lose its stream.
func TestCertificateReloadKeepsStreams(t *testing.T) {
	ca, next := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	certs, err := LoadCertificates(ca.files(dir))
	if err != nil {
		t.Fatal(err)
	}
	access := Access{Services: []*Service{testService()}, AllowedIdentities: map[string][]string{"clips": {proxyPrefix + "*"}}}
	s, addr := startServer(t, Config{TLS: certs, Access: access})
	s.Publish(testState(1, steer.Healthy))
	g := openStream(t, dial(t, addr, ca.client(proxyPrefix+"one")))
	names := []string{"clips/other"}
	send(t, g, &discoveryv3.DiscoveryRequest{Node: node("n"), TypeUrl: Endpoint.URL(), ResourceNames: names})
	m := recv(t, g)

	if err := os.WriteFile(filepath.Join(dir, "key.pem"), []byte("nonsense"), 0o600); err != nil {
		t.Fatal(err)
	}
	if certs.Reload() == nil {
		t.Error("invalid key was accepted")
	}
	two := openStream(t, dial(t, addr, ca.client(proxyPrefix+"two")))
	send(t, two, &discoveryv3.DiscoveryRequest{Node: node("two"), TypeUrl: Endpoint.URL(), ResourceNames: names})
	recv(t, two)
	next.files(dir)
	if err := certs.Reload(); err != nil {
		t.Fatal(err)
	}
	n := openStream(t, dial(t, addr, next.client(proxyPrefix+"three")))
	send(t, n, &discoveryv3.DiscoveryRequest{Node: node("m"), TypeUrl: Endpoint.URL(), ResourceNames: names})
	recv(t, n)
	// The first stream continues with its old certificate.
	send(t, g, &discoveryv3.DiscoveryRequest{TypeUrl: Endpoint.URL(), ResourceNames: names, ResponseNonce: m.Nonce})
	s.Publish(testState(2, steer.Draining))
	m = recv(t, g)
	send(t, g, &discoveryv3.DiscoveryRequest{TypeUrl: Endpoint.URL(), ResourceNames: names, ResponseNonce: m.Nonce})
	access.AllowedIdentities = map[string][]string{"clips": {proxyPrefix + "three"}}
	s.SetAccess(access)
	if _, err := g.Recv(); status.Code(err) != codes.PermissionDenied {
		t.Errorf("after the permission was revoked: %v", err)
	}
}

func TestMatchesIdentityPatterns(t *testing.T) {
	for _, c := range []struct {
		pattern, name string
		want          bool
	}{
		{"*", "x", true}, {"spiffe://a/b", "spiffe://a/b", true}, {"spiffe://a/b", "spiffe://a/bc", false},
		{"spiffe://a/*", "spiffe://a/b/c", true}, {"spiffe://a/*", "spiffe://a/", false}, {"spiffe://a/b*", "spiffe://a/bc", false},
		{"spiffe://a/*", "spiffe://ab/c", false}, {"", "", true},
	} {
		if got := Matches(c.pattern, c.name); got != c.want {
			t.Errorf("pattern %q, name %q: %v", c.pattern, c.name, got)
		}
	}
}
