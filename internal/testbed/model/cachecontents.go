package model

import "time"

// missTTL is how long a miss is remembered. It is longer than any request may take.
const missTTL = 30 * time.Second

// cacheMiss records the cache servers at which a request missed.
type cacheMiss struct {
	requestID string
	at        Time // time of the first miss
	servers   []*server
}

// rememberMiss records that a request missed at a cache server. Once the origin has answered the request, fillMissed
// stores the value at this server.
func (sys *System) rememberMiss(requestID string, srv *server) {
	sys.forgetOldMisses()
	miss := sys.misses[requestID]
	if miss == nil {
		miss = &cacheMiss{requestID: requestID, at: sys.now}
		sys.misses[requestID] = miss
		sys.missOrder = append(sys.missOrder, miss)
	}
	miss.servers = append(miss.servers, srv)
}

func (sys *System) forgetOldMisses() {
	for len(sys.missOrder) > 0 && sys.now-sys.missOrder[0].at > missTTL {
		if oldest := sys.missOrder[0]; sys.misses[oldest.requestID] == oldest {
			delete(sys.misses, oldest.requestID)
		}
		sys.missOrder = sys.missOrder[1:]
	}
}

// fillMissed stores a value from the origin at the cache servers at which the request for it missed.
func (sys *System) fillMissed(requestID string, value Copy) {
	miss := sys.misses[requestID]
	if miss == nil {
		return
	}
	delete(sys.misses, requestID)
	for _, srv := range miss.servers {
		if !srv.dead {
			srv.cache.memory.put(value)
		}
	}
}

// invalidate removes the copies of a key from all cache servers.
func (sys *System) invalidate(key string) {
	for _, srv := range sys.servers {
		if srv.cache != nil {
			srv.cache.memory.remove(key)
		}
	}
}
