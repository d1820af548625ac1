package perf

import (
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"
)

// ReverseProxy is the proxy of net/http/httputil with round-robin balancing, and with enough idle
// connections for every client.
func ReverseProxy(servers []string) http.Handler {
	var next atomic.Uint64
	return &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: servers[next.Add(1)%uint64(len(servers))]})
			r.Out.Host = r.In.Host
		},
		Transport: &http.Transport{MaxIdleConns: 4096, MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute},
	}
}
