package simwire

import (
	"encoding/hex"
	"encoding/json"
	"strconv"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

func decodeHex(s string) ([]byte, error) { return hex.DecodeString(s) }

// AppendActions writes an instance's actions, one line each.
func AppendActions(b []byte, inst int, actions []policy.Action) []byte {
	for _, a := range actions {
		b = appendAction(b, inst, a)
	}
	return b
}

// AppendFault writes the action that says an instance's decision code failed.
func AppendFault(b []byte, inst int, text string) []byte {
	return endAction(appendText(beginAction(b, "BROKEN", inst), text))
}

// AppendDone ends a reply.
func AppendDone(b []byte) []byte { return append(b, "[\"YIELD\"]\n"...) }

func appendAction(b []byte, inst int, a policy.Action) []byte {
	switch a := a.(type) {
	case policy.Send:
		b = appendNumber(appendText(beginAction(b, "TRY", inst), a.ID), int64(a.Server))
		b = appendMillis(b, a.Until)
	case policy.Reject:
		b = appendMillis(appendText(beginAction(b, "SAY_NO", inst), a.ID), a.RetryAfter)
	case policy.Fail:
		b = appendText(beginAction(b, "FINISH_ERROR", inst), a.ID)
	case policy.Cancel:
		b = appendNumber(appendText(beginAction(b, "ABANDON", inst), a.ID), int64(a.Attempt))
	case policy.SetTimer:
		b = appendText(appendMillis(beginAction(b, "SET_ALARM", inst), a.At), timerToken(a.Timer))
	case policy.HealthCheck:
		b = appendNumber(beginAction(b, "POLL", inst), int64(a.Server))
	case policy.CloseIdle:
		b = appendNumber(beginAction(b, "CLOSE_IDLE", inst), int64(a.Server))
	case policy.Forget, policy.Withdraw: // the simulator keeps its own servers; what is sent there has begun
		return b
	case policy.SendToPeer:
		b = beginAction(b, "MEMO_TO", inst)
		if a.To == policy.AllPeers {
			b = append(b, `,"*"`...)
		} else {
			b = appendNumber(b, int64(a.To))
		}
		b = appendText(b, hex.EncodeToString(a.Data))
	case policy.Log:
		b = appendText(beginAction(b, "WRITE_LOG", inst), a.Text)
	case policy.Watch:
		b = append(beginAction(b, "STREAM_CHANGES", inst), ',')
		b = strconv.AppendBool(b, a.On)
	case policy.Fetch:
		b = beginAction(b, "SNAPSHOT", inst)
	default:
		return AppendFault(b, inst, "the module returned an action the wire does not know")
	}
	return endAction(b)
}

func beginAction(b []byte, name string, inst int) []byte {
	b = append(append(append(b, `["`...), name...), `",`...)
	return strconv.AppendInt(b, int64(inst), 10)
}

func endAction(b []byte) []byte { return append(b, "]\n"...) }

func appendNumber(b []byte, v int64) []byte { return strconv.AppendInt(append(b, ','), v, 10) }

func appendMillis(b []byte, v clock.Micros) []byte {
	b = append(b, ',')
	if v < 0 {
		b, v = append(b, '-'), -v
	}
	b = strconv.AppendInt(b, int64(v/1000), 10)
	if f := int64(v % 1000); f != 0 {
		b = append(b, '.', byte('0'+f/100), byte('0'+f/10%10), byte('0'+f%10))
	}
	return b
}

func appendText(b []byte, s string) []byte {
	quoted, _ := json.Marshal(s) // a string always marshals
	return append(append(b, ','), quoted...)
}
