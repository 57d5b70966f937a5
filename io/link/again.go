package link

import (
	"context"
	"time"

	"teaseltack"
)

// askPause is the time between two attempts to ask a home again.
const askPause = 100 * time.Millisecond

// askAgain asks the home of a confirmed call, whose connection was lost, for the call's
// answer, until ctx ends. The home knows the call by its nonce and runs nothing for the
// question. A home that has restarted since does not know whether the call ran. lost is
// the error of the lost connection, which is returned if the home cannot be asked.
func (l *Links) askAgain(ctx context.Context, to teaseltack.Record, call *teaseltack.Call, lost error) (*teaseltack.Answer, error) {
	again := *call
	again.Again, again.HomeIncarnation = true, to.Incarnation
	for ctx.Err() == nil && l.mayAnswer(to) {
		c, err := l.connection(ctx, to)
		if err == nil {
			var answer *teaseltack.Answer
			if answer, err = c.call(ctx, to.Host, &again); err == nil {
				return provenAnswer(answer), nil
			}
		}
		l.pause(ctx, askPause)
	}
	return nil, lost
}

// provenAnswer returns an answer whose refusal says NotRun only if it is the result of the
// earlier call. Any other refusal, such as that of another host which now has the address,
// says only that the question was refused.
func provenAnswer(answer *teaseltack.Answer) *teaseltack.Answer {
	if answer.Refusal == nil || answer.Earlier {
		return answer
	}
	proven := *answer
	proven.Refusal = answer.Refusal.AsUncertain()
	return &proven
}

// mayAnswer reports whether the daemon that was called may still run: its host is in the
// membership at the same address and has not refused the last attempt to connect.
func (l *Links) mayAnswer(to teaseltack.Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[to.Host]
	return !l.closed && p != nil && p.record.PeerAddress == to.PeerAddress && !p.refused
}

// pause waits for length or until ctx ends.
func (l *Links) pause(ctx context.Context, length time.Duration) {
	over := make(chan struct{})
	stop := l.cfg.Timers.After(length, func() { close(over) })
	defer stop()
	select {
	case <-over:
	case <-ctx.Done():
	}
}
