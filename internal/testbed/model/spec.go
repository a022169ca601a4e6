package model

import "time"

// Spec describes a system to simulate: its servers, nodes, network, request classes and faults.
type Spec struct {
	Seed         uint64
	Nodes        []NodeSpec
	CacheServers []CacheServerSpec
	Origin       OriginSpec
	OriginZone   string
	Discovery    DiscoverySpec
	Link         LinkSpec
	Classes      []ClassSpec
	Faults       []Fault
}

// NodeSpec describes a node as far as the model needs it.
type NodeSpec struct{ Name, Zone string }

// CacheServerSpec describes a cache server. Those in Spec.CacheServers exist from the start of the run.
type CacheServerSpec struct {
	Kind  *CacheServerKind
	Zone  string
	Cell  int
	Speed float64 // speed of a core, as a multiple of a standard core's
}

// ClassSpec gives the cost of the requests of a class. Each request needs between WorkLeast and WorkMost of work.
type ClassSpec struct {
	Name                string
	WorkLeast, WorkMost time.Duration
}

// OriginID is both the id and the kind of the origin in the endpoint list.
const OriginID = "origin"
