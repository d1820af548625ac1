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

// plainTextIdentity is the identity of all proxies on a plain-text listener.
const plainTextIdentity = "plain"

// identity returns the SPIFFE ID of a stream's client certificate, or
// plainTextIdentity on a plain-text listener.
func identity(ctx context.Context, plain bool) (string, error) {
	if plain {
		return plainTextIdentity, nil
	}
	p, ok := peer.FromContext(ctx)
	if !ok {
		return "", status.Error(codes.Unauthenticated, "no peer")
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return "", status.Error(codes.Unauthenticated, "no client certificate")
	}
	return spiffeID(info.State.VerifiedChains[0][0])
}

func spiffeID(certificate *x509.Certificate) (string, error) {
	var names []*url.URL
	for _, uri := range certificate.URIs {
		if uri.Scheme == "spiffe" {
			names = append(names, uri)
		}
	}
	// A certificate must hold exactly one SPIFFE ID (X.509-SVID, section 2).
	if len(names) != 1 || names[0].Host == "" || names[0].Path == "" {
		return "", status.Error(codes.Unauthenticated, "the client certificate has no single spiffe:// name")
	}
	return names[0].String(), nil
}

// Matches reports whether a name matches a pattern: exactly, or, for a pattern
// that ends in /*, as a name below that path. "*" matches every name.
func Matches(pattern, name string) bool {
	if pattern == "*" || pattern == name {
		return true
	}
	prefix, ok := strings.CutSuffix(pattern, "*")
	return ok && strings.HasSuffix(prefix, "/") && strings.HasPrefix(name, prefix) && len(name) > len(prefix)
}

func matchesAny(patterns []string, name string) bool {
	for _, p := range patterns {
		if Matches(p, name) {
			return true
		}
	}
	return false
}

// Certificates holds the server's certificate and the CAs that it trusts for
// client certificates. Reload affects new connections only.
type Certificates struct {
	cert, key, ca string
	mu            sync.RWMutex
	current       *tls.Config
}

// LoadCertificates reads PEM files: the server's certificate chain, its key and
// the CA certificates for proxies.
func LoadCertificates(cert, key, ca string) (*Certificates, error) {
	c := &Certificates{cert: cert, key: key, ca: ca}
	return c, c.Reload()
}

// Reload reads the files again. On error the previous certificates stay in use.
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
	c.current = &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		MinVersion: tls.VersionTLS12, NextProtos: []string{"h2"}}
	return nil
}

// TLSConfig returns a configuration for listeners that always uses the certificates loaded last.
func (c *Certificates) TLSConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c.mu.RLock()
			defer c.mu.RUnlock()
			return c.current, nil
		}}
}
