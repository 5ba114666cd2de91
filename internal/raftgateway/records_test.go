package raftgateway

import (
	"testing"
	"time"

	"marblespan/internal/indoubt"
	"marblespan/internal/intents"
	"marblespan/internal/raftstore"
)

// A status is converted to a success or to "not applied" only if the outcome is certain.
func TestReplyFrom(t *testing.T) {
	for _, c := range []struct {
		status raftstore.Status
		want   indoubt.Result
	}{
		{raftstore.StatusOK, indoubt.OK},
		{raftstore.StatusConflict, indoubt.Conflict},
		{raftstore.StatusFull, indoubt.NotApplied},
		{raftstore.StatusInvalid, indoubt.NotApplied},
		{raftstore.StatusDeadlineExceeded, indoubt.Unknown},
		{raftstore.StatusNotSent, indoubt.NotApplied},
		{raftstore.StatusFormatTooNew, indoubt.NotApplied},
	} {
		t.Run(c.status.String(), func(t *testing.T) {
			got := replyFrom(raftstore.Response{Status: c.status, Version: 3, Value: []byte("value"), Found: true, Lost: true, Age: 5, LostAge: 7})
			want := intents.StoreReply{
				Result: c.want, Version: 3, Value: []byte("value"), Found: true, PossiblyLost: true, Age: 5 * time.Microsecond, SinceLoss: 7 * time.Microsecond,
			}
			if got.Result != want.Result || got.Version != want.Version || string(got.Value) != string(want.Value) || got.Found != want.Found ||
				got.PossiblyLost != want.PossiblyLost || got.Age != want.Age || got.SinceLoss != want.SinceLoss {
				t.Errorf("%+v, want %+v", got, want)
			}
		})
	}
}
