package vrrp

// effectivePriority returns the priority to advertise: the configured priority minus the steps of all conditions that hold. The
// result is at least 1, because 0 would release the address, and the last remaining gateway must still be able to hold the
// address.
func effectivePriority(priority uint8, steps [ConditionCount]uint8, h Health) uint8 {
	effective := int(priority)
	for c, holds := range h.Conditions {
		if holds {
			effective -= int(steps[c])
		}
	}
	return uint8(max(effective, 1))
}
