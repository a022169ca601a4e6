package model

import "time"

// FaultKind says what a fault does to the system.
type FaultKind int

// Kinds of faults. Faults of all kinds may overlap: the state of a server, a link or the origin depends only on which
// faults are active, not on the order in which they begin and end.
const (
	Deploy          FaultKind = iota // cache servers are replaced in batches; the replacements have new ids and empty caches
	Shrink                           // cache servers drain and are removed, one after another
	Drain                            // cache servers drain and are up again at the end of the fault
	Kill                             // the process dies; at the end of the fault it starts again with an empty cache
	Freeze                           // the process is suspended: its connections stay open but get no response
	Partition                        // no message passes between the cache servers and the nodes
	Slow                             // the speed of the cache servers is multiplied by Factor
	Stall                            // the cache servers accept requests but do no work
	Flap                             // the process is killed and restarted periodically
	CorruptResponse                  // a fraction of the responses can't be decoded or is followed by extra bytes
	PacketLoss                       // a fraction of the messages is lost once and arrives after a retransmission
	DiscoveryLag                     // the discovery service learns of all changes with an additional delay
	DiscoveryDown                    // the discovery service does not answer
	DiscoveryEmpty                   // the endpoint list is empty
	OriginSlow                       // the service time of the origin is multiplied by Factor
	OriginStall                      // the origin does no work
	numFaultKinds
)

// FaultKinds holds the names of the fault kinds in scenario files and in the event log.
var FaultKinds = [numFaultKinds]string{"deploy", "shrink", "drain", "kill", "freeze", "cut", "slow", "stall", "flap",
	"spoilt", "lossy", "roster-lag", "roster-down", "roster-empty", "origin-slow", "origin-fall"}

// String returns the name of the fault kind in scenario files and in the event log.
func (k FaultKind) String() string { return FaultKinds[k] }

// AffectsCacheServers reports whether faults of this kind have cache servers as targets.
func (k FaultKind) AffectsCacheServers() bool { return k <= PacketLoss }

// Selector selects the cache servers that a fault affects. Candidates are those that match IDs, Kind and Zone, where an
// unset field matches all. Of the candidates, Count servers or the fraction Share are drawn at random from the seed. If
// neither is set, all candidates are selected.
type Selector struct {
	IDs        []string
	Kind, Zone string
	Count      int
	Share      float64
}

// Fault is an entry of the fault schedule.
type Fault struct {
	Kind   FaultKind
	At     Time
	For    time.Duration // 0 means until the end of the run
	Select Selector
	Nodes  []int // Partition: the nodes that are cut off from the cache servers; empty means all nodes

	Factor   float64       // Slow: factor on the speed; OriginSlow: factor on the service time
	Share    float64       // CorruptResponse, PacketLoss: fraction of the messages
	Batch    float64       // Deploy: fraction of all cache servers that is replaced at a time
	DrainFor time.Duration // Deploy, Shrink: time from the drain to the end of the process
	SameSlot float64       // Deploy: fraction of the replacements that get the address of the server that they replace
	Period   time.Duration // Flap: length of a cycle; the process is dead in the first half and alive in the second
	Lag      time.Duration // DiscoveryLag: additional delay
}

// CorruptionKind says in which way a response is corrupt. The driver encodes the response accordingly.
type CorruptionKind int

// Kinds of corruption. With the last three, the response itself can still be decoded.
const (
	NotCorrupt           CorruptionKind = iota
	CorruptNoise                        // bytes that are not a response
	CorruptEndlessLine                  // a line that never ends
	CorruptLength                       // a length that does not match the data
	CorruptHugeValue                    // a value that is announced as 3 GB long and never completed
	CorruptDuplicate                    // the response is followed by a second copy of itself
	CorruptTrailingNoise                // the response is followed by noise
	CorruptLoadReport                   // a load report that can't be decoded
	numCorruptionKinds
)

// IsDecodable reports whether a response with this corruption can still be decoded.
func (k CorruptionKind) IsDecodable() bool { return k == NotCorrupt || k >= CorruptDuplicate }
