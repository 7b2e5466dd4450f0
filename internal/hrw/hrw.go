// Package hrw ranks nodes for a key by rendezvous hashing (highest random
// weight). Processes that know the same nodes compute the same order without
// coordination.
package hrw

// Score returns the score of the node with hash node for the key with hash key;
// the node with the highest score comes first. Scores are uniformly distributed
// over all 64-bit numbers. The mixing steps are those of SplitMix64 (Steele, Lea
// and Flood, 2014).
func Score(key, node uint64) uint64 {
	z := key ^ (node*0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
