package session

import (
	"context"
	"testing"
	"time"

	"marblespan/internal/indoubt"
	"marblespan/internal/routing"
)

// recordedWrite is an in-doubt write that records the kinds of answers passed to RoutingAnswered.
type recordedWrite struct{ kinds []indoubt.AnswerKind }

func (w *recordedWrite) Begin()  {}
func (w *recordedWrite) Cancel() {}
func (w *recordedWrite) RoutingAnswered(kind indoubt.AnswerKind, _ []byte) {
	w.kinds = append(w.kinds, kind)
}
func (w *recordedWrite) MaySend(context.Context, string, time.Time) bool { return false }

// If the settings allow a write to run twice, routing may reject it although an attempt may have run. Such a rejection does not
// prove that the write did not run, so it is passed on as failed.
func TestRejectionsOfInDoubtWrites(t *testing.T) {
	for _, c := range []struct {
		mayHaveRun bool
		want       indoubt.AnswerKind
	}{{false, indoubt.Rejected}, {true, indoubt.Failed}} {
		write := &recordedWrite{}
		q := &pendingQuery{client: &client{}, write: write}
		q.Answer(routing.Answer{Kind: routing.AnswerRejected, MayHaveRun: c.mayHaveRun})
		if len(write.kinds) != 1 || write.kinds[0] != c.want {
			t.Errorf("with MayHaveRun %v: recorded %v", c.mayHaveRun, write.kinds)
		}
	}
}
