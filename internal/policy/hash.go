package policy

import "hash/fnv"

// hash gives a text 64 well-spread bits that are the same at every router.
func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return mix(h.Sum64())
}

// mix spreads the bits of x (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps x to the open interval from 0 to 1.
func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }
