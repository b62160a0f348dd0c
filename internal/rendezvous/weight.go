package rendezvous

// Weight combines the hashes of a candidate and a key into the candidate's weight for the key, with the finalizer of
// SplitMix64. The candidate with the highest weight is chosen. Names are hashed only once, so that a choice among 1,000
// candidates takes microseconds.
func Weight(candidate, key uint64) uint64 {
	z := candidate ^ (key * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
