package model

import "container/list"

// cache is the memory of a box: it holds copies by bytes and gives up the oldest ones, by last use (LRU) or by
// arrival (FIFO).
type cache struct {
	limit, used int64
	fifo        bool
	order       *list.List // the next to go is at the back
	byKey       map[string]*list.Element
}

// Copy is what a box or the origin holds for a key. Versions of a key count its writes.
type Copy struct {
	Key     string
	Version int64
	Size    int // bytes of the value
}

// overhead is what a copy takes beside its key and value.
const overhead = 64

func newCache(limit int64, fifo bool) *cache {
	return &cache{limit: limit, fifo: fifo, order: list.New(), byKey: map[string]*list.Element{}}
}

func (c *cache) get(key string) (Copy, bool) {
	e := c.byKey[key]
	if e == nil {
		return Copy{}, false
	}
	if !c.fifo {
		c.order.MoveToFront(e)
	}
	return e.Value.(Copy), true
}

func (c *cache) put(v Copy) {
	c.drop(v.Key)
	size := v.bytes()
	if size > c.limit {
		return
	}
	c.byKey[v.Key] = c.order.PushFront(v)
	for c.used += size; c.used > c.limit; {
		c.drop(c.order.Back().Value.(Copy).Key)
	}
}

func (c *cache) drop(key string) {
	if e := c.byKey[key]; e != nil {
		c.used -= c.order.Remove(e).(Copy).bytes()
		delete(c.byKey, key)
	}
}

func (c *cache) clear() {
	c.order.Init()
	c.byKey, c.used = map[string]*list.Element{}, 0
}

func (v Copy) bytes() int64 { return int64(v.Size+len(v.Key)) + overhead }
