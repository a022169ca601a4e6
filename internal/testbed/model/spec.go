package model

import "time"

// Spec describes a system.
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

// NodeSpec is a node as the system sees it.
type NodeSpec struct{ Name, Zone string }

// CacheServerSpec is a cache server that exists from the start.
type CacheServerSpec struct {
	Kind  *CacheServerKind
	Zone  string
	Cell  int
	Speed float64 // factor on the speed of a standard core
}

// ClassSpec gives the cost of the requests of a class: each needs an amount of work from this range.
type ClassSpec struct {
	Name                string
	WorkLeast, WorkMost time.Duration
}

// OriginID is the id and the kind of the origin in the endpoint list.
const OriginID = "origin"
