package routing

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"marblespan/internal/policy"
)

// A request that is not served is logged in one line, with the reason and how each attempt ended. A burst of such requests writes
// a limited number of lines, and the next line has the number of lines left out.
func TestUnservedRequestsAreLogged(t *testing.T) {
	r, log := newHarness(t), &bytes.Buffer{}
	r.core.log = zerolog.New(log)
	r.request(1, 900_000)
	r.advance(30_000)
	r.endAttempt(0, policy.ResultReset)
	for _, want := range []string{
		`"class":"put"`, `"group":7`, `"answer":"failed"`, `"reason":"may_have_run"`, `"after_us":30000`, `"left_us":870000`,
		`"attempts":[{"server":"p","result":"reset","execution":"unknown","took_us":30000}]`, `"message":"request not served"`,
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("%s is not in %s", want, log)
		}
	}
	log.Reset()
	for range 200 {
		r.core.logUnserved(&request{}, AnswerFailed, "stopping")
	}
	if n := strings.Count(log.String(), "\n"); n != maxLoggedBurst-1 {
		t.Errorf("%d lines logged for a burst of 200", n)
	}
	log.Reset()
	r.core.now += logInterval
	r.core.logUnserved(&request{}, AnswerFailed, "stopping")
	if !strings.Contains(log.String(), `"left_out":151`) {
		t.Error(log)
	}
}
