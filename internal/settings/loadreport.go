package settings

import (
	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// The load report fields that the gateway uses, by the names that the platform gives them.
const (
	fieldPosition    = "x0" // log position, in seconds
	fieldRole        = "x1" // rolePrimary on the primary
	fieldQueue       = "pending"
	fieldUtilization = "cpu_share"

	rolePrimary = 1
)

// fieldDigits returns the number of decimals that are kept of a field's value. known is false for a field that the gateway
// does not use.
func fieldDigits(field string) (digits int, known bool) {
	switch field {
	case fieldPosition:
		return 6, true
	case fieldRole:
		return 0, true
	case fieldQueue, fieldUtilization:
		return 3, true
	}
	return 0, false
}

// SetLoadReportField sets one field of a load report; field is the name that the platform gives it. A log position is a
// number of seconds since epoch. Fields with unknown names are ignored. A value that is not a number is an error.
func SetLoadReportField(loadReport *policy.LoadReport, field, value string, epoch clock.Micros) error {
	digits, known := fieldDigits(field)
	if !known {
		return nil
	}
	number, err := ParseScaled(value, digits)
	if err != nil {
		return err
	}
	switch field {
	case fieldPosition:
		loadReport.Position, loadReport.HasPosition = epoch+clock.Micros(number), true
	case fieldRole:
		loadReport.Role = policy.RoleReplica
		if number == rolePrimary {
			loadReport.Role = policy.RolePrimary
		}
	case fieldQueue:
		loadReport.Queue, loadReport.HasQueue = number, true
	case fieldUtilization:
		loadReport.Util, loadReport.HasUtil = number, true
	}
	return nil
}
