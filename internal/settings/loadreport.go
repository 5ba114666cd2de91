package settings

import (
	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// The fields of a load report that are read, by the platform's names.
const (
	fieldPosition    = "x0" // log position, in seconds
	fieldRole        = "x1" // rolePrimary on the primary
	fieldQueue       = "pending"
	fieldUtilization = "cpu_share"

	rolePrimary = 1
)

// fieldDigits is how many decimals of a field are kept; it fails for fields that are skipped.
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

// SetLoadReportField sets one field of a load report, by the platform's name for it. A position is counted in seconds from
// epoch. Fields of unknown names are skipped; a value that is no number is an error.
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
