// Package hrw orders nodes for a key by rendezvous hashing (highest random
// weight), so that all who know the same nodes agree on the order without a
// message.
package hrw

// Score returns the rank of the node with hash node for the key with hash key;
// the highest comes first. Scores are spread evenly over all 64-bit numbers. The
// mixing steps are those of SplitMix64 (Steele, Lea and Flood, 2014).
func Score(key, node uint64) uint64 {
	z := key ^ (node*0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
