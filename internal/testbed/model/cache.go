package model

import "container/list"

// cache is the memory of a cache server. It holds values up to a limit of bytes. Beyond the limit it evicts the least
// recently used value (LRU) or the value that was stored first (FIFO).
type cache struct {
	limit, used int64 // in bytes
	fifo        bool
	order       *list.List // elements are of type Copy; the next one to evict is at the back
	byKey       map[string]*list.Element
}

// Copy describes the value that a cache server or the origin holds for a key.
type Copy struct {
	Key     string
	Version int64 // number of times that the key was written
	Size    int   // size of the value in bytes
}

// copyOverhead is the memory that a copy takes in addition to its key and value, in bytes.
const copyOverhead = 64

func newCache(limit int64, fifo bool) *cache {
	return &cache{limit: limit, fifo: fifo, order: list.New(), byKey: map[string]*list.Element{}}
}

// get returns the copy of a key. In an LRU cache, get counts as a use of the copy.
func (c *cache) get(key string) (Copy, bool) {
	element := c.byKey[key]
	if element == nil {
		return Copy{}, false
	}
	if !c.fifo {
		c.order.MoveToFront(element)
	}
	return element.Value.(Copy), true
}

// put stores a copy, replaces an earlier copy of the same key, and evicts other copies to make room. A copy that is
// larger than the whole cache is not stored.
func (c *cache) put(value Copy) {
	c.remove(value.Key)
	size := value.bytes()
	if size > c.limit {
		return
	}
	c.byKey[value.Key] = c.order.PushFront(value)
	for c.used += size; c.used > c.limit; {
		c.remove(c.order.Back().Value.(Copy).Key)
	}
}

// remove removes the copy of a key, if there is one.
func (c *cache) remove(key string) {
	if element := c.byKey[key]; element != nil {
		c.used -= c.order.Remove(element).(Copy).bytes()
		delete(c.byKey, key)
	}
}

func (c *cache) clear() {
	c.order.Init()
	c.byKey, c.used = map[string]*list.Element{}, 0
}

// bytes returns the memory that a copy takes, in bytes.
func (v Copy) bytes() int64 { return int64(v.Size+len(v.Key)) + copyOverhead }
