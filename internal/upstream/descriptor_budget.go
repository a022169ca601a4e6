package upstream

import (
	"container/list"
	"sync"
)

// DescriptorBudget bounds the number of descriptors that the connections of several pools use together, however many pools there
// are. If all are in use, the connection that has been idle longest, of any pool, is evicted for a new one. If none is idle,
// the pool waits for a descriptor. A DescriptorBudget is safe for concurrent use. Its lock may be taken while the lock of a pool
// is held, and it calls no pool.
type DescriptorBudget struct {
	mu        sync.Mutex
	total     int
	used      int       // descriptors of connections that are established or being opened
	idle      list.List // idle connections as *Conn, the longest idle one first
	waiters   []*Core   // cores that wait to open a connection, in the order in which they began to wait
	exhausted int64     // how often no descriptor was available
}

// NewDescriptorBudget returns a budget of n descriptors.
func NewDescriptorBudget(n int) *DescriptorBudget { return &DescriptorBudget{total: n} }

// Resize sets the size of the budget to n descriptors. If more are in use, idle connections are evicted at once, and busy ones as
// soon as they are idle.
func (b *DescriptorBudget) Resize(n int, effects *Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = n
	for b.used > b.total && b.evictOldest(effects) {
		continue
	}
	b.notifyWaiter(effects)
}

// Usage returns the number of descriptors that are used by connections with attempts in flight or by connections that are being
// opened. It also returns how often a connection was not opened because no descriptor was available.
func (b *DescriptorBudget) Usage() (busy int, exhausted int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used - b.idle.Len(), b.exhausted
}

// acquire takes a descriptor for a connection of a core, and reports whether there was one. If not, the core is notified when one
// may be available.
func (b *DescriptorBudget) acquire(core *Core, effects *Effects) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.used >= b.total && b.evictOldest(effects) {
		continue
	}
	if b.used < b.total {
		b.used++
		return true
	}
	b.exhausted++
	if !core.isWaitingForDescriptor {
		core.isWaitingForDescriptor = true
		b.waiters = append(b.waiters, core)
	}
	return false
}

// release returns the descriptor of a connection that was closed or could not be opened.
func (b *DescriptorBudget) release(conn *Conn, effects *Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if conn.isEvicted {
		return
	}
	b.removeIdle(conn)
	b.used--
	b.notifyWaiter(effects)
}

// becameIdle records that a connection has nothing in flight, so that it may be evicted.
func (b *DescriptorBudget) becameIdle(conn *Conn, effects *Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	conn.idleElement = b.idle.PushBack(conn)
	if b.used > b.total {
		b.evictOldest(effects)
	}
	b.notifyWaiter(effects)
}

// takeIdle records that an idle connection is to be used, and reports whether it may be used: it may have been evicted a moment
// before.
func (b *DescriptorBudget) takeIdle(conn *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeIdle(conn)
	return !conn.isEvicted
}

// passOn notifies the next waiting core, as the one that was notified needs no descriptor any more.
func (b *DescriptorBudget) passOn(effects *Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notifyWaiter(effects)
}

// The caller of each method below holds mu.

// evictOldest evicts the connection that has been idle longest and frees its descriptor. It returns false if no connection is
// idle.
func (b *DescriptorBudget) evictOldest(effects *Effects) bool {
	oldest := b.idle.Front()
	if oldest == nil {
		return false
	}
	conn := oldest.Value.(*Conn)
	b.removeIdle(conn)
	conn.isEvicted = true
	b.used--
	effects.evict(conn)
	return true
}

func (b *DescriptorBudget) removeIdle(conn *Conn) {
	if conn.idleElement != nil {
		b.idle.Remove(conn.idleElement)
		conn.idleElement = nil
	}
}

// notifyWaiter notifies the core that has waited longest, if there may be a descriptor for it.
func (b *DescriptorBudget) notifyWaiter(effects *Effects) {
	if len(b.waiters) == 0 || b.used >= b.total && b.idle.Len() == 0 {
		return
	}
	next := b.waiters[0]
	b.waiters[0] = nil // the array outlives the slice and would keep the core in memory
	b.waiters = b.waiters[1:]
	next.isWaitingForDescriptor = false
	effects.descriptorAvailable(next)
}
