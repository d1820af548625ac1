package guard

import "time"

const (
	// RecentIDWindow is how long the id of a request that may have run is remembered. It is longer than
	// clients and servers keep a request.
	RecentIDWindow = 10 * time.Second
	// maxRecentIDs bounds the ids that are remembered, about 0.5 MB.
	maxRecentIDs = 16384
)

// RecentIDs remembers requests that may have run and must not run again: an id that comes again is the
// same request, for example because its client has lost its connection. It is used by one goroutine.
type RecentIDs struct {
	seenAt map[uint64]time.Duration
	order  []recentID // a ring, oldest at first
	first  int
}

type recentID struct {
	hash uint64
	at   time.Duration
}

// Add remembers an id by its hash. Times must not decrease.
func (r *RecentIDs) Add(hash uint64, now time.Duration) {
	if r.seenAt == nil {
		r.seenAt = map[uint64]time.Duration{}
	}
	r.expire(now)
	r.order = append(r.order, recentID{hash, now})
	r.seenAt[hash] = now
}

// Contains reports whether an id was added lately.
func (r *RecentIDs) Contains(hash uint64, now time.Duration) bool {
	at, found := r.seenAt[hash]
	return found && now-at <= RecentIDWindow
}

// expire forgets what is too old or too much.
func (r *RecentIDs) expire(now time.Duration) {
	for r.first < len(r.order) {
		oldest := r.order[r.first]
		if now-oldest.at <= RecentIDWindow && len(r.order)-r.first < maxRecentIDs {
			break
		}
		if r.seenAt[oldest.hash] == oldest.at { // it was not added again since
			delete(r.seenAt, oldest.hash)
		}
		r.first++
	}
	if 2*r.first >= len(r.order) {
		r.order = append(r.order[:0], r.order[r.first:]...)
		r.first = 0
	}
}
