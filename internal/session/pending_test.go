package session

import (
	"context"
	"testing"
	"time"

	"marblespan/internal/indoubt"
	"marblespan/internal/routing"
)

// recordedWrite is an in-doubt write that records what it is told of routing's answer.
type recordedWrite struct{ kinds []indoubt.AnswerKind }

func (w *recordedWrite) Begin()  {}
func (w *recordedWrite) Cancel() {}
func (w *recordedWrite) RoutingAnswered(kind indoubt.AnswerKind, _ []byte) {
	w.kinds = append(w.kinds, kind)
}
func (w *recordedWrite) MaySend(context.Context, string, time.Time) bool { return false }

// A rejection of a write that may have run, as the settings let it run twice, is no proof for its intent that nothing ran.
func TestRejectionsOfInDoubtWrites(t *testing.T) {
	for _, c := range []struct {
		mayHaveRun bool
		want       indoubt.AnswerKind
	}{{false, indoubt.Rejected}, {true, indoubt.Failed}} {
		write := &recordedWrite{}
		q := &pendingQuery{client: &client{}, write: write}
		q.Answer(routing.Answer{Kind: routing.AnswerRejected, MayHaveRun: c.mayHaveRun})
		if len(write.kinds) != 1 || write.kinds[0] != c.want {
			t.Errorf("may have run: %v: %v", c.mayHaveRun, write.kinds)
		}
	}
}
