package testcluster

// Shrink searches for a minimal list of faults with which a run still fails. It leaves out halves of the list, then quarters and so
// on (delta debugging, Zeller and Hildebrandt 2002), and calls fails at most runs times. A run that depends on
// timing may pass although it could have failed. Then the result may contain a fault that is not needed, but never lacks a needed one.
func Shrink(faults []Fault, runs int, fails func([]Fault) bool) []Fault {
	tried := map[string]bool{FormatScript(faults): false}
	attempt := func(some []Fault) bool {
		key := FormatScript(some)
		if _, done := tried[key]; done || runs == 0 {
			return false
		}
		runs--
		tried[key] = fails(some)
		return tried[key]
	}
	for parts := 2; len(faults) > 0; {
		size := (len(faults) + parts - 1) / parts
		smaller := false
		for from := 0; from < len(faults) && !smaller; from += size {
			to := min(from+size, len(faults))
			without := append(append([]Fault(nil), faults[:from]...), faults[to:]...)
			if attempt(without) {
				faults, smaller = without, true
			}
		}
		switch {
		case smaller:
			parts = max(parts-1, 2)
		case size == 1:
			return faults
		default:
			parts = min(2*parts, len(faults))
		}
	}
	return faults
}
