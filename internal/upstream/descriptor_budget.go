package upstream

import "sync/atomic"

// DescriptorBudget bounds the descriptors of connections that several pools open together. It is safe for concurrent use.
type DescriptorBudget struct{ total, available, exhausted atomic.Int64 }

// NewDescriptorBudget returns a budget of n descriptors.
func NewDescriptorBudget(n int) *DescriptorBudget {
	b := &DescriptorBudget{}
	b.Resize(n)
	return b
}

// Resize changes the size of the budget. Connections past a smaller budget stay until they end.
func (b *DescriptorBudget) Resize(n int) { b.available.Add(int64(n) - b.total.Swap(int64(n))) }

// Usage returns how many descriptors are in use, and how often a connection was not opened because none was available.
func (b *DescriptorBudget) Usage() (used int, exhausted int64) {
	return int(b.total.Load() - b.available.Load()), b.exhausted.Load()
}

func (b *DescriptorBudget) acquire() bool {
	if b.available.Add(-1) >= 0 {
		return true
	}
	b.available.Add(1)
	b.exhausted.Add(1)
	return false
}

func (b *DescriptorBudget) release() { b.available.Add(1) }
