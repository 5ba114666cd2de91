package simwire

import (
	"encoding/hex"
	"encoding/json"
	"strconv"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// AppendActions appends the actions of an instance to b, one line each.
func AppendActions(b []byte, instance int, actions []policy.Action) []byte {
	for _, a := range actions {
		b = appendAction(b, instance, a)
	}
	return b
}

// AppendFault appends the action that reports a fault of an instance.
func AppendFault(b []byte, instance int, text string) []byte {
	return endAction(appendText(beginAction(b, nameFault, instance), text))
}

// AppendDone appends the line that ends the reply to a batch.
func AppendDone(b []byte) []byte {
	return append(b, `["`+nameReplyEnd+"\"]\n"...)
}

// appendAction appends one action. It leaves out an action that the simulator has no use for.
func appendAction(b []byte, instance int, action policy.Action) []byte {
	switch a := action.(type) {
	case policy.Send:
		b = appendNumber(appendText(beginAction(b, nameSend, instance), a.ID), int64(a.Server))
		b = appendMillis(b, a.Until)
	case policy.Reject:
		b = appendMillis(appendText(beginAction(b, nameReject, instance), a.ID), a.RetryAfter)
	case policy.Fail:
		b = appendText(beginAction(b, nameFail, instance), a.ID)
	case policy.Cancel:
		b = appendNumber(appendText(beginAction(b, nameCancel, instance), a.ID), int64(a.Attempt))
	case policy.SetTimer:
		b = appendText(appendMillis(beginAction(b, nameSetTimer, instance), a.At), timerToken(a.Timer))
	case policy.HealthCheck:
		b = appendNumber(beginAction(b, nameHealthCheck, instance), int64(a.Server))
	case policy.CloseIdle:
		b = appendNumber(beginAction(b, nameCloseIdle, instance), int64(a.Server))
	case policy.Forget, policy.Withdraw: // the simulator manages its servers, and begins each attempt when the router sends it
		return b
	case policy.SendToPeer:
		b = appendPeer(beginAction(b, nameSendToPeer, instance), a.To)
		b = appendText(b, hex.EncodeToString(a.Data))
	case policy.Log:
		b = appendText(beginAction(b, nameLog, instance), a.Text)
	case policy.Watch:
		b = append(beginAction(b, nameWatch, instance), ',')
		b = strconv.AppendBool(b, a.On)
	case policy.Fetch:
		b = beginAction(b, nameFetch, instance)
	default:
		return AppendFault(b, instance, "the module returned an action the wire does not know")
	}
	return endAction(b)
}

// beginAction appends the beginning of an action: its name and its instance.
func beginAction(b []byte, name string, instance int) []byte {
	b = append(append(append(b, `["`...), name...), `",`...)
	return strconv.AppendInt(b, int64(instance), 10)
}

func endAction(b []byte) []byte { return append(b, "]\n"...) }

func appendNumber(b []byte, v int64) []byte { return strconv.AppendInt(append(b, ','), v, 10) }

// appendPeer appends the number of a peer, or "*" for all peers.
func appendPeer(b []byte, peer int) []byte {
	if peer == policy.AllPeers {
		return append(b, `,"*"`...)
	}
	return appendNumber(b, int64(peer))
}

// appendMillis appends a time in milliseconds, with a fraction if it is not a whole number.
func appendMillis(b []byte, v clock.Micros) []byte {
	b = append(b, ',')
	if v < 0 {
		b, v = append(b, '-'), -v
	}
	b = strconv.AppendInt(b, int64(v/1000), 10)
	if fraction := int64(v % 1000); fraction != 0 {
		b = append(b, '.', byte('0'+fraction/100), byte('0'+fraction/10%10), byte('0'+fraction%10))
	}
	return b
}

func appendText(b []byte, s string) []byte {
	quoted, _ := json.Marshal(s) // marshalling a string cannot fail
	return append(append(b, ','), quoted...)
}
