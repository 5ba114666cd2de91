package policy

// random is a splitmix64 generator: fast, seeded, and with the same output on every machine.
type random struct{ state uint64 }

// below returns a random number from 0 to n-1.
func (r *random) below(n int) int {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) % uint64(n))
}
