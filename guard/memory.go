package guard

// MemoryOwner is what memory is held for.
type MemoryOwner int

const (
	// RequestBodies are first parts of request bodies, and buffers for forwarding the rest.
	RequestBodies MemoryOwner = iota
	// BodiesReadAhead are parts of long request bodies that are kept so that a request can be
	// repeated, or its client watched.
	BodiesReadAhead
	// PipelinedRequests are bytes that clients send behind an open request.
	PipelinedRequests
	// Responses are responses of servers that are buffered or forwarded.
	Responses
	// NumMemoryOwners is the number of owners.
	NumMemoryOwners
)

// MemoryOwnerNames are the names of the owners in metrics and logs, indexed by owner.
var MemoryOwnerNames = []string{"request_bodies", "read_ahead", "pipelined", "responses"}

// String returns the owner's name in metrics and logs.
func (o MemoryOwner) String() string { return nameOf(MemoryOwnerNames, int(o)) }

// memoryCeilings are the parts of the memory for buffers up to which all owners together may hold
// memory when one takes more. What can be done without leaves the rest to what a request needs.
var memoryCeilings = [NumMemoryOwners]float64{RequestBodies: 0.75, BodiesReadAhead: 0.5, PipelinedRequests: 0.5, Responses: 1}

// MayReserve reports whether an owner may take size further bytes, with held bytes of total in use.
func (o MemoryOwner) MayReserve(size, held, total int64) bool {
	return float64(held+size) <= memoryCeilings[o]*float64(total)
}

const (
	processMemory    = 14 << 20 // bytes of a process without clients
	connectionMemory = 32 << 10 // bytes for a client's connection and its request: stacks, parsers, small bodies
	minBufferMemory  = 1 << 20  // bytes
	minConnections   = 16
	// maxConnectionShare is the part of the memory beyond processMemory that connections may take.
	maxConnectionShare = 0.5
	// bufferShare is the part of the remaining memory that buffers may take. The rest is for garbage
	// that is not collected yet.
	bufferShare = 0.5
)

// MemoryPlan divides the memory of a process among its clients.
type MemoryPlan struct {
	Connections int   // client connections that may be open
	Buffers     int64 // bytes for all bodies and responses that are held
}

// PlanMemory divides a memory limit in bytes, with at most the given number of client connections.
func PlanMemory(limit int64, connections int) MemoryPlan {
	available := max(0, limit-processMemory)
	affordable := int(maxConnectionShare * float64(available) / connectionMemory)
	plan := MemoryPlan{Connections: min(connections, max(minConnections, affordable))}
	plan.Buffers = max(minBufferMemory, int64(bufferShare*float64(available-int64(plan.Connections)*connectionMemory)))
	return plan
}
