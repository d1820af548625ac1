package xds

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

// anyone is the identity of all proxies on a plain-text listener.
const anyone = "plain"

// identity gives the SPIFFE-like name of a stream's client certificate: its
// one URI of scheme spiffe. On a plain-text listener everybody is "plain".
func identity(ctx context.Context, plain bool) (string, error) {
	if plain {
		return anyone, nil
	}
	p, ok := peer.FromContext(ctx)
	if !ok {
		return "", status.Error(codes.Unauthenticated, "no peer")
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return "", status.Error(codes.Unauthenticated, "no client certificate")
	}
	return nameOf(info.State.VerifiedChains[0][0])
}

func nameOf(c *x509.Certificate) (string, error) {
	var names []*url.URL
	for _, u := range c.URIs {
		if u.Scheme == "spiffe" {
			names = append(names, u)
		}
	}
	// The SPIFFE standard (X.509-SVID, section 2) allows exactly one.
	if len(names) != 1 || names[0].Host == "" || names[0].Path == "" {
		return "", status.Error(codes.Unauthenticated, "the client certificate has no single spiffe:// name")
	}
	return names[0].String(), nil
}

// Matches says whether a name is allowed by a pattern: the same name, or, for
// a pattern that ends in /*, one below it. "*" allows everybody.
func Matches(pattern, name string) bool {
	if pattern == "*" || pattern == name {
		return true
	}
	under, ok := strings.CutSuffix(pattern, "*")
	return ok && strings.HasSuffix(under, "/") && strings.HasPrefix(name, under) && len(name) > len(under)
}

func allowed(patterns []string, name string) bool {
	for _, p := range patterns {
		if Matches(p, name) {
			return true
		}
	}
	return false
}

// Certificates are a server's own certificate and the authorities it trusts
// for proxies, read again on Reload. Connections that stand keep theirs.
type Certificates struct {
	cert, key, ca string
	mu            sync.RWMutex
	now           *tls.Config
}

// LoadCertificates reads PEM files: the server's certificate with its chain,
// its key, and the authorities of proxies.
func LoadCertificates(cert, key, ca string) (*Certificates, error) {
	c := &Certificates{cert: cert, key: key, ca: ca}
	return c, c.Reload()
}

// Reload reads the files again. If it errs, what was read before stays.
func (c *Certificates) Reload() error {
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", c.cert, err)
	}
	raw, err := os.ReadFile(c.ca)
	if err != nil {
		return fmt.Errorf("authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return errors.New("authorities: " + c.ca + " holds no certificate")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		MinVersion: tls.VersionTLS12, NextProtos: []string{"h2"}}
	return nil
}

// TLSConfig gives what a listener needs; it follows Reload.
func (c *Certificates) TLSConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c.mu.RLock()
			defer c.mu.RUnlock()
			return c.now, nil
		}}
}
