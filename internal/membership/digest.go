package membership

// viewDigest returns a digest of the names, generations and incarnations of all members that have not ended, including this
// member. Two members with the same digest have the same view. The digest is never 0, because 0 marks a digest that is not
// known.
func (m *Machine) viewDigest() uint64 {
	if !m.digestStale {
		return m.digest
	}
	m.digestStale = false
	m.digest, m.alivePeers = 0, 0
	if !m.self.State.Ended() {
		m.digest = recordHash(m.self)
	}
	for i := range m.members {
		if e := &m.members[i]; !e.State.Ended() {
			m.digest ^= recordHash(e.Record)
			m.alivePeers++
		}
	}
	if m.digest == 0 {
		m.digest = 1
	}
	return m.digest
}

// countAlive returns the number of other members that have not ended.
func (m *Machine) countAlive() int {
	m.viewDigest()
	return m.alivePeers
}

// The offset basis and the prime of 64-bit FNV-1a.
const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

// recordHash returns the FNV-1a hash of a record's name, generation and incarnation. The result is mixed further because
// viewDigest combines the hashes by exclusive or.
func recordHash(r Record) uint64 {
	h := fnvOffset
	for i := range len(r.Name) {
		h = (h ^ uint64(r.Name[i])) * fnvPrime
	}
	for _, value := range []uint64{r.Generation, uint64(r.Incarnation)} {
		for range 8 {
			h = (h ^ value&0xff) * fnvPrime
			value >>= 8
		}
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	return h ^ h>>27
}
