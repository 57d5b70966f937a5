package reqlog_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/io/clock"
	"teaseltack/io/reqlog"
)

// TestLinesAreBoundedAndFailuresLeftLast guards against an unbounded log, and against
// dropping lines of failures while lines of successes fill it.
func TestLinesAreBoundedAndFailuresLeftLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger := reqlog.New(reqlog.Config{Timers: clock.Clock{}, Log: hclog.New(&hclog.LoggerOptions{Output: &out})})
		for range 150 {
			logger.RecordDecision(&teaseltack.Decision{Step: teaseltack.StepAnswered, ID: "good"})
			logger.RecordDecision(&teaseltack.Decision{Step: teaseltack.StepFailed, ID: "bad"})
		}
		assert.Equal(t, strings.Count(out.String(), "id=bad"), 150)
		assert.Equal(t, strings.Count(out.String(), "id=good"), 20)
		time.Sleep(time.Second)
		logger.RecordDecision(&teaseltack.Decision{Step: teaseltack.StepAnswered, ID: "next"})
		assert.Assert(t, strings.Contains(out.String(), "lines left out: step=answered count=130"), out.String())
		assert.Equal(t, strings.Count(out.String(), "id=next"), 1)
	})
}

// Guards against clients that fill the log with requests that are refused.
func TestLinesOfMalformedRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger := reqlog.New(reqlog.Config{Timers: clock.Clock{}, Log: hclog.New(&hclog.LoggerOptions{Output: &out})})
		for range 150 {
			logger.RecordMalformed(errors.New("a bad head"))
		}
		assert.Equal(t, strings.Count(out.String(), "a bad head"), 20)
		time.Sleep(time.Second)
		logger.RecordMalformed(errors.New("the next one"))
		assert.Assert(t, strings.Contains(out.String(), "lines left out: step=malformed count=130"), out.String())
	})
}

func BenchmarkDecided(b *testing.B) {
	logger := reqlog.New(reqlog.Config{Timers: clock.Clock{}, Log: hclog.New(&hclog.LoggerOptions{Output: &bytes.Buffer{}})})
	d := &teaseltack.Decision{Step: teaseltack.StepAnswered, ID: "a", Target: teaseltack.Target{Service: "s", Method: "m"}}
	for b.Loop() {
		logger.RecordDecision(d)
	}
}
