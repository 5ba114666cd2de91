//go:build review

package standin

// cases are the cases by name.
var cases map[string]func(*run) error

func init() {
	cases = map[string]func(*run) error{
		"drain-timeout": drainTimeout,
		"herd-twice":    herdTwice,
		"second-copy":   secondCopy,
	}
}
