package upstream

import (
	"container/list"
	"sync"
)

// DescriptorBudget bounds the descriptors of the connections that several pools open together, however many pools there are. Where
// all are in use, the connection of any pool that has been idle for longest is evicted for a new one; where none is idle, the pool
// waits for one. It is safe for concurrent use: its lock is taken below those of the pools, and it calls none of them.
type DescriptorBudget struct {
	mu        sync.Mutex
	total     int
	used      int       // by connections that are established or being opened
	idle      list.List // of *Conn, the one that has been idle for longest first
	waiters   []*Core   // that could not open a connection, in order
	exhausted int64     // how often that was
}

// NewDescriptorBudget returns a budget of n descriptors.
func NewDescriptorBudget(n int) *DescriptorBudget { return &DescriptorBudget{total: n} }

// Resize changes the size of the budget. Idle connections past a smaller one are evicted; busy ones are once they are idle.
func (b *DescriptorBudget) Resize(n int, effects *Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = n
	for b.used > b.total && b.evictOldest(effects) {
		continue
	}
	b.notifyWaiter(effects)
}

// Usage returns how many descriptors connections with attempts in flight use, or connections that are being opened, and how often a
// connection was not opened as all of them were.
func (b *DescriptorBudget) Usage() (busy int, exhausted int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used - b.idle.Len(), b.exhausted
}

// acquire takes a descriptor for a connection of a core, and reports whether there was one. If not, the core is notified when there
// may be one.
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

// release gives a connection's descriptor back, as the connection was closed or could not be opened.
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

// becameIdle says that a connection has nothing in flight: it may be evicted.
func (b *DescriptorBudget) becameIdle(conn *Conn, effects *Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	conn.idleElement = b.idle.PushBack(conn)
	if b.used > b.total {
		b.evictOldest(effects)
	}
	b.notifyWaiter(effects)
}

// takeIdle says that an idle connection is to be used, and reports whether it may be: it may have been evicted a moment before.
func (b *DescriptorBudget) takeIdle(conn *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeIdle(conn)
	return !conn.isEvicted
}

// passOn notifies the next waiter, as the one that was notified needs no descriptor any more.
func (b *DescriptorBudget) passOn(effects *Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notifyWaiter(effects)
}

// The methods below are called under the lock.

// evictOldest takes the descriptor of the connection that has been idle for longest; false if none is idle.
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

// notifyWaiter notifies the core that has waited for longest, if there may be a descriptor for it.
func (b *DescriptorBudget) notifyWaiter(effects *Effects) {
	if len(b.waiters) == 0 || b.used >= b.total && b.idle.Len() == 0 {
		return
	}
	next := b.waiters[0]
	b.waiters[0] = nil // the array outlives the slice
	b.waiters = b.waiters[1:]
	next.isWaitingForDescriptor = false
	effects.descriptorAvailable(next)
}
