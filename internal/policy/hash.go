package policy

import "hash/fnv"

// hash returns a well-distributed 64-bit hash of text, which is the same at every router.
func hash(text string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(text)) // the Write method of a hash never returns an error
	return mix(digest.Sum64())
}

// mix spreads the bits of x with the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps x to the open interval between 0 and 1.
func unitInterval(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }
