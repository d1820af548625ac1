package subset

// Score returns the score of a process for a unit by rendezvous hashing (Thaler and
// Ravishankar, 1998); the process with the highest score ranks first. process is the number
// of a node or of a group of proxies, unit the key of a server or pod.
func Score(unit, process uint64) uint64 { return mix(mix(unit) + process) }

// mix is the finalizer of splitmix64 (Steele et al., 2014).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
