package daemon

import (
	"math"
	"runtime"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/config"
	"shelfproxy/internal/listener"
	"shelfproxy/internal/upstream"
)

// What the process takes beside requests and responses.
const (
	programMemoryMB  = 11       // the program and the runtime
	connectionMemory = 20 << 10 // bytes for each descriptor: the goroutines and the buffer of a connection, and what is known of it
)

// Fractions of the memory that is left, in eighths, for what grows with the load. The smallest nodes get the minima.
const (
	requestMemoryEighths  = 3 // requests that are not answered yet
	responseMemoryEighths = 2 // responses, from when they arrive from servers until they are written to clients
	minRequestMemoryMB    = 4
	minResponseMemoryMB   = 2
)

// unsentMemoryDivisor gives the part of the memory for responses that may be in writes to clients. Past it, clients that read
// nothing are disconnected.
const unsentMemoryDivisor = 2

// Limits of values. The description of the protocol limits values to 64 KiB, but values of 400 KB occurred in test runs.
const (
	maxValueBytes   = 64 << 10 // maximum length of the value that a client writes
	maxBufferExtras = 4 << 10  // bytes of the buffer of a long response beside its value
)

// On each connection, a client may pipeline one command for every memoryMBPerPipelined MB of the node's memory, but at least
// minPipelined commands and at most as many as the operator allows. The number is bounded by memory, because each command may hold
// 64 KiB of a value or an answer, and there are dozens of connections.
const (
	memoryMBPerPipelined = 2
	minPipelined         = 8
)

// collectorMemoryTenths is the limit below which the garbage collector keeps the process, in tenths of the node's memory. The
// process is killed when it uses all of the node's memory.
const collectorMemoryTenths = 6

// collectorLimit returns the limit below which the garbage collector keeps the process, in bytes.
func collectorLimit(cfg *config.Config) int64 {
	return int64(megabytes(cfg.MemoryMB)) * collectorMemoryTenths / 10
}

// processorBurstTime gives the processor time that an idle node saves up: its share of this time.
const processorBurstTime = 50 * time.Millisecond

// partOfProcessorTenths is what clients that send much may use of a part of a processor, in tenths. The platform stops a process that
// uses more than its part; one that has whole processors can't use more.
const partOfProcessorTenths = 9

// idleTimeoutTenths is the node's idle timeout for upstream connections, in tenths of the servers' idle timeout.
const idleTimeoutTenths = 8

// maxPipelineAge bounds the age of the unanswered attempt behind which a connection may send another attempt. If the unanswered
// attempt is older, the server is slow, and an attempt behind it would be slow too. A hit takes 30 to 100 ms on the machines that
// the deployment names, and the shortest latency objective is 520 ms.
const maxPipelineAge = 100 * time.Millisecond

// Parameters of the split of descriptors among the sides: clients, cache servers and the origin.
const (
	reservedDescriptors    = 32              // descriptors that no side gets: they are kept for discovery, the log and the runtime
	descriptorStepDivisor  = 48              // one step moves 1/48 of all descriptors from one side to another
	descriptorFloorFifths  = 2               // each side keeps at least this many fifths of the descriptors that it had at the start
	descriptorHoldTime     = 2 * time.Second // a side that gained descriptors gives none away for this long
	descriptorPeakFadeTime = 5 * time.Second // the weight of a past peak of use falls to 1/e in this time
)

// megabytes converts a memory size of the configuration to bytes.
func megabytes(mb int) int { return mb << 20 }

// descriptorSplitPolicy returns the policy for splitting descriptors. At the start they are split by the operator's fractions.
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

// cacheServerLimits returns the limits of the connections to one cache server.
func cacheServerLimits(cfg *config.Config) upstream.Limits {
	limits := upstream.Limits{
		ConnectTimeout: cfg.Node.ConnectTimeout,
		IdleTimeout:    cfg.Node.ConnectionIdle * idleTimeoutTenths / 10,
		MaxStreams:     cfg.Node.MaxStreams,
		MaxConnections: cfg.Operator.Pools.MaxConnections,
		MaxQueued:      cfg.Operator.Pools.MaxQueued,
		DroppedWithin:  cfg.Node.ConnectTimeout, // with less time left, a request is of no use to a server that it first has to reach
		SecondCopies:   cfg.Node.SecondCopies,
	}
	if cfg.Policy.HandshakeCost > 0 {
		limits.PipelineWithin = maxPipelineAge
	}
	return limits
}

// originLimits returns the limits of the connections to the origin, which takes one request at a time on each connection. The
// origin's descriptor budget bounds the number of connections.
func originLimits(cfg *config.Config) upstream.Limits {
	limits := cacheServerLimits(cfg)
	limits.MaxStreams, limits.MaxConnections = 1, cfg.Sockets
	return limits
}

// memoryBudgets are the bounds of what grows with the load.
type memoryBudgets struct {
	requests  *admission.MemoryBudget // requests that are not answered yet, from when they arrive
	responses *admission.MemoryBudget // responses, from when they arrive from servers until they are written to clients
}

func newMemoryBudgets(cfg *config.Config) memoryBudgets {
	return memoryBudgets{
		requests:  admission.NewMemoryBudget(requestMemory(cfg)),
		responses: admission.NewMemoryBudget(responseMemory(cfg)),
	}
}

// memoryForLoad returns the memory that is left beside the program and its connections, in bytes. It may be negative.
func memoryForLoad(cfg *config.Config) int {
	return megabytes(cfg.MemoryMB-programMemoryMB) - cfg.Sockets*connectionMemory
}

// requestMemory returns the memory for requests, in bytes.
func requestMemory(cfg *config.Config) int {
	return max(megabytes(minRequestMemoryMB), memoryForLoad(cfg)/8*requestMemoryEighths)
}

// responseMemory returns the memory for responses, in bytes.
func responseMemory(cfg *config.Config) int {
	return max(megabytes(minResponseMemoryMB), memoryForLoad(cfg)/8*responseMemoryEighths)
}

// maxResponse returns the length of the longest response that is accepted from a server, in bytes. It fits the quarter of the memory
// for responses that is always left for the next one, with what its buffer takes beside it.
func maxResponse(cfg *config.Config) int { return responseMemory(cfg)/4 - maxBufferExtras }

// processors returns how many processors the node may use.
func processors(cfg *config.Config) float64 {
	if cfg.Cores > 0 {
		return min(cfg.Cores, float64(runtime.NumCPU()))
	}
	return float64(runtime.NumCPU())
}

// processorShare returns the processors that the node uses in the mean before clients that send much have to wait.
func processorShare(cfg *config.Config) float64 {
	available := processors(cfg)
	if available < math.Ceil(available) {
		return available * partOfProcessorTenths / 10
	}
	return available
}

// processorBurst returns the processor time that an idle node saves up.
func processorBurst(cfg *config.Config) time.Duration {
	return time.Duration(processors(cfg) * float64(processorBurstTime))
}

// listenerLimits returns the limits of the connections of clients. maxConnections is the maximum number of connections at the
// start.
func listenerLimits(cfg *config.Config, maxConnections int, memory memoryBudgets) listener.Limits {
	operator := cfg.Operator.Listener
	return listener.Limits{
		MaxConnections:      maxConnections,
		MaxPipelined:        min(operator.MaxPipelined, max(minPipelined, cfg.MemoryMB/memoryMBPerPipelined)),
		MaxValue:            maxValueBytes,
		WriteTimeout:        operator.WriteTimeout.D(),
		FirstCommandTimeout: operator.FirstCommandTimeout.D(),
		CrowdedIdleTimeout:  operator.CrowdedIdleTimeout.D(),
		IdleTimeout:         operator.IdleTimeout.D(),
		MaxUnsentBytes:      responseMemory(cfg) / unsentMemoryDivisor,
		RequestMemory:       memory.requests,
		ResponseMemory:      memory.responses,
		ProcessorShare:      processorShare(cfg),
		ProcessorBurst:      processorBurst(cfg),
	}
}
