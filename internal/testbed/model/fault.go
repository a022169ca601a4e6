package model

import "time"

// FaultKind is a kind of fault.
type FaultKind int

// The kinds of faults. All of them compose: the state of a server, a link or the origin follows from the faults that
// are active, in whatever order they begin and end.
const (
	Deploy          FaultKind = iota // cache servers are replaced in batches; the replacements have new ids and empty caches
	Shrink                           // cache servers drain and are removed, one after another
	Drain                            // cache servers drain, and are up again at the end
	Kill                             // the process dies; at the end it starts again, with an empty cache
	Freeze                           // the process is suspended: connections stay open and unresponsive
	Partition                        // no message passes between the cache servers and the nodes
	Slow                             // the speed is multiplied by Factor
	Stall                            // no work is done, but requests are accepted
	Flap                             // the process is killed and started periodically
	CorruptResponse                  // a fraction of the responses can't be decoded, or has more bytes after it
	PacketLoss                       // a fraction of the messages arrives a retransmission later
	DiscoveryLag                     // the discovery service learns of all changes later
	DiscoveryDown                    // the discovery service does not answer
	DiscoveryEmpty                   // the endpoint list is empty
	OriginSlow                       // the service time of the origin is multiplied by Factor
	OriginStall                      // the origin does nothing
	numFaultKinds
)

// FaultKinds are the names of the kinds in scenario files and in the event log.
var FaultKinds = [numFaultKinds]string{"deploy", "shrink", "drain", "kill", "freeze", "cut", "slow", "stall", "flap",
	"spoilt", "lossy", "roster-lag", "roster-down", "roster-empty", "origin-slow", "origin-fall"}

// String returns the name of a kind in scenario files and in the event log.
func (k FaultKind) String() string { return FaultKinds[k] }

// AffectsCacheServers reports whether faults of a kind have cache servers as targets.
func (k FaultKind) AffectsCacheServers() bool { return k <= PacketLoss }

// Selector selects the cache servers that a fault affects: those that match IDs, Kind and Zone, as far as these are
// set, and of them Count, or the fraction Share, drawn by the seed. With neither it selects all that match.
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
	For    time.Duration // 0 is to the end of the run
	Select Selector
	Nodes  []int // Partition: the nodes that are cut off from the cache servers; all nodes if empty

	Factor   float64       // Slow, OriginSlow
	Share    float64       // CorruptResponse, PacketLoss: fraction of the messages
	Batch    float64       // Deploy: fraction of the cache servers that is replaced at a time
	DrainFor time.Duration // Deploy, Shrink: from the drain to the end of the process
	SameSlot float64       // Deploy: fraction of the replacements that get the address of the removed server
	Period   time.Duration // Flap: dead for the first half of it, alive for the second
	Lag      time.Duration // DiscoveryLag
}

// CorruptionKind is a way in which a response is corrupt. The driver encodes it.
type CorruptionKind int

// The ways. In the last three the response itself can be decoded.
const (
	NotCorrupt           CorruptionKind = iota
	CorruptNoise                        // bytes that are no response
	CorruptEndlessLine                  // a line without an end
	CorruptLength                       // a length that does not match
	CorruptHugeValue                    // a value of 3 GB that is sent without end
	CorruptDuplicate                    // a second copy after the response
	CorruptTrailingNoise                // noise after the response
	CorruptLoadReport                   // a load report that can't be decoded
	numCorruptionKinds
)

// IsDecodable reports whether a response that is corrupt in this way can be decoded all the same.
func (k CorruptionKind) IsDecodable() bool { return k == NotCorrupt || k >= CorruptDuplicate }
