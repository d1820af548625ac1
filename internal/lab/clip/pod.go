package clip

import (
	"sync"
	"time"
)

// maxKeys bounds the number of keys that a pod remembers.
const maxKeys = 16_000

// Pod is a group of servers that share the idempotency keys that they have seen. It is safe for concurrent use.
type Pod struct {
	Window time.Duration // how long a key is remembered
	mu     sync.Mutex
	seen   map[string]time.Duration
	order  []string
}

// NewPod makes a pod that remembers keys for window.
func NewPod(window time.Duration) *Pod {
	return &Pod{Window: window, seen: map[string]time.Duration{}}
}

// RecordKey reports whether a key is seen for the first time within the window, and records it if
// so. An empty key is always new.
func (p *Pod) RecordKey(now time.Duration, key string) bool {
	if key == "" {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.order) > 0 && (now-p.seen[p.order[0]] >= p.Window || len(p.order) > maxKeys) {
		delete(p.seen, p.order[0])
		p.order = p.order[1:]
	}
	if _, known := p.seen[key]; known {
		return false
	}
	p.seen[key] = now
	p.order = append(p.order, key)
	return true
}
