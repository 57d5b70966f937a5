package ticket_test

import (
	"crypto/sha256"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/ticket"
	"teaseltack/io/clock"
	"teaseltack/io/random"
)

var pay = teaseltack.Target{Service: "till", Method: "pay"}

func newTable(lifetime time.Duration, maxBytes int) *ticket.Table {
	return ticket.New(ticket.Config{
		Timers: clock.Clock{}, Rand: random.Seeded(1), Host: "h", Incarnation: 1, Lifetime: lifetime, MaxRecords: 2, MaxKeptBytes: maxBytes,
	})
}

// TestForeignTicketsAreTold guards against running a request under a ticket of an
// earlier incarnation, of another target or with an invalid format. Only the ticket of
// an earlier incarnation leaves open whether the request ran.
func TestForeignTicketsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := newTable(time.Minute, 100)
		defer own.Close()
		restarted := ticket.New(ticket.Config{Timers: clock.Clock{}, Rand: random.Seeded(2), Host: "h", Incarnation: 2, Lifetime: time.Minute, MaxRecords: 2})
		defer restarted.Close()
		issued := own.Issue(pay)
		_, refusal := own.Check(issued, pay)
		assert.Assert(t, refusal == nil)
		_, refusal = restarted.Check(issued, pay)
		assert.Equal(t, refusal.Verdict, teaseltack.MayHaveRun)
		_, refusal = own.Check(issued, teaseltack.Target{Service: "till", Method: "refund"})
		assert.Equal(t, refusal.Reason, teaseltack.ReasonTicketInvalid)
		_, refusal = own.Check("Zm9yZ2Vk", pay)
		assert.Equal(t, refusal.Reason, teaseltack.ReasonTicketInvalid)
	})
}

// TestForgedSignatureIsRefused guards against a ticket that names this incarnation but
// was signed with another secret.
func TestForgedSignatureIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := newTable(time.Minute, 100)
		defer own.Close()
		forger := ticket.New(ticket.Config{Timers: clock.Clock{}, Rand: random.Seeded(9), Host: "h", Incarnation: 1, Lifetime: time.Minute, MaxRecords: 2})
		defer forger.Close()
		_, refusal := own.Check(forger.Issue(pay), pay)
		assert.Equal(t, refusal.Reason, teaseltack.ReasonTicketInvalid)
		assert.Equal(t, refusal.Verdict, teaseltack.NotRun)
	})
}

// TestTableIsBoundedAndForgets guards against unbounded growth of the records and the
// kept answers, against a key that is reused for another request, and against records
// that are kept after their expiry.
func TestTableIsBoundedAndForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(time.Minute, 3)
		defer table.Close()
		checksum := sha256.Sum256([]byte("a"))
		for _, key := range []teaseltack.Ticket{"one", "two"} {
			_, refusal := table.Begin(key, checksum, time.Now().Add(time.Minute))
			assert.Assert(t, refusal == nil)
			table.Finish(key, &teaseltack.Answer{Status: 200, Body: []byte("abc")})
		}
		_, refusal := table.Begin("three", checksum, time.Now().Add(time.Minute))
		assert.Equal(t, refusal.Reason, teaseltack.ReasonTicketsFull)
		execution, _ := table.Begin("one", checksum, time.Now().Add(time.Minute))
		assert.Equal(t, string(execution.Result().Body), "abc")
		execution, _ = table.Begin("two", checksum, time.Now().Add(time.Minute))
		assert.Equal(t, execution.Result().Refusal.Reason, teaseltack.ReasonAnswerDropped)
		_, refusal = table.Begin("one", sha256.Sum256([]byte("b")), time.Now().Add(time.Minute))
		assert.Equal(t, refusal.Reason, teaseltack.ReasonKeyMismatch)
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		assert.Equal(t, table.Len(), 0)
	})
}

func BenchmarkIssueCheckAndRun(b *testing.B) {
	table := ticket.New(ticket.Config{Timers: clock.Clock{}, Rand: random.New(), Host: "h", Incarnation: 1, Lifetime: time.Second, MaxRecords: 1 << 30, MaxKeptBytes: 1 << 20})
	defer table.Close()
	b.ReportAllocs()
	for b.Loop() {
		issued := table.Issue(pay)
		expires, _ := table.Check(issued, pay)
		_, _ = table.Begin(issued, [32]byte{}, expires)
		table.Finish(issued, &teaseltack.Answer{Status: 200})
	}
}
