// Package ticket lets a non-idempotent request run at most once without coordination
// between hosts: a ticket names the one home incarnation where the request may run,
// and that incarnation keeps a record of the ticket until it expires.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"teaseltack"
)

// Config configures a table.
type Config struct {
	Timers      teaseltack.Timers
	Rand        teaseltack.RandSource
	Host        teaseltack.HostID
	Incarnation teaseltack.Incarnation
	// Lifetime is the time from a ticket's issue to its expiry.
	Lifetime time.Duration
	// MaxRecords bounds the number of recorded requests.
	MaxRecords int
	// MaxKeptBytes bounds the total body size of the kept answers. Beyond it an answer
	// is dropped, and a repeat gets a refusal with the verdict Ran.
	MaxKeptBytes int
}

// state is the state of a recorded request.
type state uint8

const (
	running state = iota
	// answered means that the answer is kept.
	answered
	// dropped means that the request was answered and the answer is not kept.
	dropped
	// failed means that the attempt ended with a refusal, which is kept; the request
	// may have run.
	failed
)

// record is what the table keeps of one request.
type record struct {
	state    state
	checksum [sha256.Size]byte
	answer   *teaseltack.Answer
	refusal  *teaseltack.Refusal
	done     chan struct{}
	expires  time.Time
}

// Table records the requests that run under the tickets of one incarnation. It is safe
// for concurrent use.
type Table struct {
	cfg Config
	// secret is the key of the ticket signatures. It is not stored, so each incarnation
	// has its own.
	secret [32]byte
	mu     sync.Mutex
	// records is keyed by the ticket, or by the nonce of a request without one.
	records   map[teaseltack.Ticket]*record
	keptBytes int
	stop      func()
}

// New returns an empty table that uses a periodic timer until Close.
func New(cfg Config) *Table {
	t := &Table{cfg: cfg, records: map[teaseltack.Ticket]*record{}}
	for i := 0; i < len(t.secret); i += 8 {
		binary.LittleEndian.PutUint64(t.secret[i:], cfg.Rand.Uint64())
	}
	t.stop = cfg.Timers.Every(cfg.Lifetime/8, t.removeExpired)
	return t
}

// Close stops the periodic timer.
func (t *Table) Close() {
	t.stop()
}

// Issue returns a new ticket for one request to the target.
func (t *Table) Issue(target teaseltack.Target) teaseltack.Ticket {
	expiry := t.cfg.Timers.Now().Add(t.cfg.Lifetime).UnixMilli()
	body := fmt.Sprintf("%s~%x~%x~%x~%s", t.cfg.Host, uint64(t.cfg.Incarnation), t.cfg.Rand.Uint64(), expiry, target)
	return teaseltack.Ticket(base64.RawURLEncoding.EncodeToString([]byte(body + "~" + t.sign(body))))
}

func (t *Table) sign(body string) string {
	mac := hmac.New(sha256.New, t.secret[:])
	mac.Write([]byte(body))
	return hex.EncodeToString(mac.Sum(nil)[:16])
}

// IssuingHost returns the host that issued a ticket. It does not check the signature.
func IssuingHost(ticket teaseltack.Ticket) (teaseltack.HostID, error) {
	p, err := parse(ticket)
	if err != nil {
		return "", err
	}
	return p.host, nil
}

type parsedTicket struct {
	body        string
	host        teaseltack.HostID
	incarnation teaseltack.Incarnation
	expires     time.Time
	target      string
	signature   string
}

func parse(ticket teaseltack.Ticket) (parsedTicket, error) {
	const fieldCount = 6
	raw, err := base64.RawURLEncoding.DecodeString(string(ticket))
	if err != nil {
		return parsedTicket{}, fmt.Errorf("ticket is not base64url: %w", err)
	}
	fields := strings.Split(string(raw), "~")
	if len(fields) != fieldCount {
		return parsedTicket{}, fmt.Errorf("ticket has %d fields, want %d", len(fields), fieldCount)
	}
	incarnation, err := strconv.ParseUint(fields[1], 16, 64)
	if err != nil {
		return parsedTicket{}, fmt.Errorf("ticket's incarnation is %q: %w", fields[1], err)
	}
	expiry, err := strconv.ParseInt(fields[3], 16, 64)
	if err != nil {
		return parsedTicket{}, fmt.Errorf("ticket's expiry is %q: %w", fields[3], err)
	}
	return parsedTicket{
		body:        strings.Join(fields[:fieldCount-1], "~"),
		host:        teaseltack.HostID(fields[0]),
		incarnation: teaseltack.Incarnation(incarnation),
		expires:     time.UnixMilli(expiry),
		target:      fields[4],
		signature:   fields[5],
	}, nil
}

// Check returns the ticket's expiry, or a refusal unless this incarnation may run a
// request to the target under the ticket now.
func (t *Table) Check(ticket teaseltack.Ticket, target teaseltack.Target) (time.Time, *teaseltack.Refusal) {
	p, err := parse(ticket)
	if err != nil {
		return time.Time{}, teaseltack.Refuse(teaseltack.ReasonTicketInvalid, "%v", err)
	}
	if p.host != t.cfg.Host {
		return time.Time{}, teaseltack.Uncertain(teaseltack.ReasonWrongHost, "the ticket was issued by host %s", p.host)
	}
	if p.incarnation != t.cfg.Incarnation {
		return time.Time{}, teaseltack.Uncertain(teaseltack.ReasonTicketOther, "host %s has restarted since the ticket was issued", p.host)
	}
	if !hmac.Equal([]byte(p.signature), []byte(t.sign(p.body))) {
		return time.Time{}, teaseltack.Refuse(teaseltack.ReasonTicketInvalid, "the signature does not match")
	}
	if p.target != target.String() {
		return time.Time{}, teaseltack.Refuse(teaseltack.ReasonTicketInvalid, "the ticket was issued for %s", p.target)
	}
	if t.pastExpiry(p.expires) {
		return time.Time{}, teaseltack.Uncertain(teaseltack.ReasonTicketExpired, "the ticket expired at %s", p.expires.UTC().Format(time.RFC3339))
	}
	return p.expires, nil
}

// pastExpiry compares wall clocks, since on some hosts the monotonic clock stops while
// the host is frozen.
func (t *Table) pastExpiry(expires time.Time) bool {
	return !t.cfg.Timers.Now().Round(0).Before(expires)
}

// Execution is an earlier attempt of a request, running or finished.
type Execution struct {
	// Done is closed when the result is available.
	Done   <-chan struct{}
	record *record
	table  *Table
}

// Result returns the result of the first attempt; call it after Done is closed.
func (x *Execution) Result() *teaseltack.Answer {
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	switch x.record.state {
	case answered:
		kept := *x.record.answer
		return &kept
	case failed:
		return &teaseltack.Answer{Refusal: x.record.refusal}
	}
	return &teaseltack.Answer{Refusal: &teaseltack.Refusal{
		Verdict: teaseltack.Ran,
		Reason:  teaseltack.ReasonAnswerDropped,
		Detail:  "the request ran and its answer is no longer kept",
	}}
}

// Begin records the start of a request under its key: the ticket, or the nonce of a
// request without one. A nil Execution means that this attempt is the first one and
// has to call Finish. The checksum of the request detects the reuse of a key for
// another request.
func (t *Table) Begin(key teaseltack.Ticket, checksum [sha256.Size]byte, expires time.Time) (*Execution, *teaseltack.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.records[key]; ok {
		if e.checksum != checksum {
			return nil, teaseltack.Uncertain(teaseltack.ReasonKeyMismatch, "the ticket or nonce was already used for a different request")
		}
		return &Execution{Done: e.done, record: e, table: t}, nil
	}
	if t.pastExpiry(expires) {
		return nil, teaseltack.Uncertain(teaseltack.ReasonTicketExpired, "the ticket, or the record of a request without one, expired before the request started")
	}
	if len(t.records) >= t.cfg.MaxRecords {
		return nil, teaseltack.Refuse(teaseltack.ReasonTicketsFull, "the ticket table is full with %d requests", len(t.records))
	}
	t.records[key] = &record{checksum: checksum, done: make(chan struct{}), expires: expires}
	return nil, nil
}

// Find returns the earlier attempt of a request under its key, which another attempt
// began at the incarnation. It returns a refusal with the verdict MayHaveRun if that is
// not this incarnation, or if the attempt is not known.
func (t *Table) Find(key teaseltack.Ticket, checksum [sha256.Size]byte, incarnation teaseltack.Incarnation) (*Execution, *teaseltack.Refusal) {
	if incarnation != t.cfg.Incarnation {
		return nil, teaseltack.Uncertain(teaseltack.ReasonTicketOther, "host %s has restarted since the call was sent", t.cfg.Host)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[key]
	if e == nil || e.checksum != checksum {
		return nil, teaseltack.Uncertain(teaseltack.ReasonTicketExpired, "host %s has no record of the earlier call", t.cfg.Host)
	}
	return &Execution{Done: e.done, record: e, table: t}, nil
}

// Finish records the result of the first attempt and makes it available to the others.
func (t *Table) Finish(key teaseltack.Ticket, answer *teaseltack.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[key]
	if e == nil || e.state != running {
		return
	}
	defer close(e.done)
	if answer.Refusal != nil {
		e.state, e.refusal = failed, answer.Refusal
		return
	}
	if t.keptBytes+len(answer.Body) > t.cfg.MaxKeptBytes {
		e.state = dropped
		return
	}
	t.keptBytes += len(answer.Body)
	kept := *answer
	e.state, e.answer = answered, &kept
}

// Expired reports whether the request's record has expired or was removed, so that the
// request must not be dispatched.
func (t *Table) Expired(key teaseltack.Ticket) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[key]
	return e == nil || t.pastExpiry(e.expires)
}

// removeExpired removes the expired records of requests that are no longer running.
func (t *Table) removeExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.records {
		if e.state == running || !t.pastExpiry(e.expires) {
			continue
		}
		if e.answer != nil {
			t.keptBytes -= len(e.answer.Body)
		}
		delete(t.records, key)
	}
}

// Len returns the number of recorded requests.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
