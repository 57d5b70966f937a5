package roster_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/roster"
	"teaseltack/io/clock"
	"teaseltack/io/random"
)

// losingRenewals loses each tenth renewal of a lease.
type losingRenewals struct {
	*fakeStore
	renewals int
}

func (l *losingRenewals) KeepAlive(ctx context.Context, lease teaseltack.Lease) error {
	if l.renewals++; l.renewals%10 == 0 {
		return errStoreDown
	}
	return l.fakeStore.KeepAlive(ctx, lease)
}

// Guards against a list of all records by each host whenever one renewal is lost.
func TestALostRenewalCostsNoListOfAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &losingRenewals{fakeStore: newFakeStore()}
		r := roster.New(roster.Config{
			Timers: clock.Clock{}, Rand: random.Seeded(1), Store: store, Prefix: "h/", OnChange: func([]teaseltack.Record) {}, OnStoreResult: func(string, error) {},
			Own: teaseltack.Record{Host: "a", Serving: teaseltack.Ready, PeerAddress: "127.0.0.1:1"},
		})
		done := make(chan struct{})
		go func() {
			r.Run()
			close(done)
		}()
		time.Sleep(20 * time.Second)
		from := time.Now()
		time.Sleep(5 * time.Minute)
		assert.Check(t, len(store.listsSince(from)) == 0, "%d lists of all records", len(store.listsSince(from)))
		r.Close()
		<-done
	})
}
