package daemon

import (
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/config"
	"shelfproxy/internal/listener"
	"shelfproxy/internal/upstream"
)

// Divisors of the node's memory: each use below may take one part in so many.
const (
	requestMemoryDivisor  = 4  // requests that are not answered
	unsentMemoryDivisor   = 6  // responses on their way to clients
	responseMemoryDivisor = 8  // long responses on their way in from servers
	maxResponseDivisor    = 32 // one response, so that a length of 3 GB from a faulty server is not believed
)

// Values are 64 KiB at most by the protocol's page, and 400 KB on days that were played.
const (
	maxValueBytes    = 64 << 10 // of a client's write
	minResponseBytes = 64 << 10 // that a node of any size accepts from a server
)

// Clients may pipeline one command on each connection for every memoryMBPerPipelined of memory, within the operator's bound: each
// may hold 64 KiB of a value or an answer, and there are dozens of connections.
const (
	memoryMBPerPipelined = 2
	minPipelined         = 8
)

// The garbage collector keeps the process below these tenths of the memory limit, at which the process is killed.
const collectorMemoryTenths = 6

// Idle upstream connections are closed after these tenths of the time after which servers close them.
const idleTenths = 8

// maxPipelineAge is the age up to which an attempt may be followed by another on its connection: past it the server is slow, and
// the attempt behind it would be, too. A hit takes 30 to 100 ms on the machines that the deployment names, and the shortest
// latency objective is 520 ms.
const maxPipelineAge = 100 * time.Millisecond

// Bounds of the descriptor split.
const (
	reservedDescriptors    = 32 // for discovery, the log and the runtime
	descriptorStepDivisor  = 48 // one part in so many is moved at a time
	descriptorFloorFifths  = 2  // of what a side has at the start, which it always keeps
	descriptorHoldTime     = 2 * time.Second
	descriptorPeakFadeTime = 5 * time.Second
)

// megabytes converts a memory size of the configuration to bytes.
func megabytes(mb int) int { return mb << 20 }

// descriptorSplitPolicy divides the descriptors by the operator's fractions at the start.
func descriptorSplitPolicy(cfg *config.Config) admission.DescriptorSplitPolicy {
	available := float64(cfg.Sockets - reservedDescriptors)
	policy := admission.DescriptorSplitPolicy{
		Start: [admission.NumSides]int{
			admission.Clients:      int(available * cfg.Operator.Listener.DescriptorFraction),
			admission.CacheServers: int(available * cfg.Operator.Pools.CacheServerFraction),
			admission.Origin:       max(1, int(available*cfg.Operator.Pools.OriginFraction)),
		},
		Step: max(1, cfg.Sockets/descriptorStepDivisor),
		Hold: descriptorHoldTime,
		Fade: descriptorPeakFadeTime,
	}
	for side, start := range policy.Start {
		policy.Floor[side] = max(1, start*descriptorFloorFifths/5)
	}
	return policy
}

// cacheServerLimits bound the connections to one cache server.
func cacheServerLimits(cfg *config.Config) upstream.Limits {
	limits := upstream.Limits{
		ConnectTimeout: cfg.Node.ConnectTimeout,
		IdleTimeout:    cfg.Node.ConnectionIdle * idleTenths / 10,
		MaxStreams:     cfg.Node.MaxStreams,
		MaxConnections: cfg.Operator.Pools.MaxConnections,
		MaxQueued:      cfg.Operator.Pools.MaxQueued,
	}
	if cfg.Policy.HandshakeCost > 0 {
		limits.PipelineWithin = maxPipelineAge
	}
	return limits
}

// originLimits bound the connections to the origin, which takes one request at a time on each; their number is bounded by the
// origin's descriptor budget.
func originLimits(cfg *config.Config) upstream.Limits {
	limits := cacheServerLimits(cfg)
	limits.MaxStreams, limits.MaxConnections = 1, cfg.Sockets
	return limits
}

// newResponseMemory returns the budget for long responses of servers.
func newResponseMemory(cfg *config.Config) *upstream.ResponseMemory {
	memory := megabytes(cfg.MemoryMB)
	return upstream.NewResponseMemory(memory/responseMemoryDivisor, max(minResponseBytes, memory/maxResponseDivisor))
}

// listenerLimits bound the connections of clients, of which there may be maxConnections at the start.
func listenerLimits(cfg *config.Config, maxConnections int) listener.Limits {
	operator := cfg.Operator.Listener
	return listener.Limits{
		MaxConnections:      maxConnections,
		MaxPipelined:        min(operator.MaxPipelined, max(minPipelined, cfg.MemoryMB/memoryMBPerPipelined)),
		MaxValue:            maxValueBytes,
		WriteTimeout:        operator.WriteTimeout.D(),
		FirstCommandTimeout: operator.FirstCommandTimeout.D(),
		CrowdedIdleTimeout:  operator.CrowdedIdleTimeout.D(),
		IdleTimeout:         operator.IdleTimeout.D(),
		MaxUnsentBytes:      megabytes(cfg.MemoryMB) / unsentMemoryDivisor,
	}
}
