// Package usage bounds what clients make a process hold of one resource, such as memory
// or connections. Each use is counted before it is made. When the resource is used up,
// the holders that have stalled for longest make room for those that go on.
package usage

import (
	"container/list"
	"errors"
	"sync"
	"time"

	"teaseltack"
)

// The errors of Take.
var (
	// ErrFull means that the other holders leave too little of the resource.
	ErrFull = errors.New("the limit is used up")
	// ErrTooLarge means that the holder would exceed the limit by itself.
	ErrTooLarge = errors.New("more than the limit allows")
)

// Config configures a limiter. Amounts are in units of the resource, such as bytes.
type Config struct {
	Timers teaseltack.Timers
	// Limit is what all holders may hold together.
	Limit int64
	// Free is what each holder may hold without being counted.
	Free int64
	// Reserve is the part of the limit that is left for small holders, which hold up to
	// SmallAmount each.
	Reserve, SmallAmount int64
	// Patience is the time in which a holder receives at least MinProgress. One that does
	// not has stalled; it is asked to leave when another one finds no room.
	Patience    time.Duration
	MinProgress int64
}

const (
	// RetryAfter is the time after which a client that found no room may find the room of
	// those that have stalled.
	RetryAfter = patience
	// patience and minBytes set the rate of 16 KiB/s below which a client stalls.
	patience = time.Second
	minBytes = 16 << 10
	// smallBytes is the memory up to which a request is small, and smallDivisor the part
	// of a limit that is left for small requests.
	smallBytes   = 64 << 10
	smallDivisor = 16
	// requestBytes is the memory that a request takes beside its head and its body, and
	// headerBytes that of a header field beside its content.
	requestBytes = 4 << 10
	headerBytes  = 256
)

// HeadBytes returns the memory in bytes that a request takes beside its body, if its head
// has so many bytes and header fields.
func HeadBytes(size, fields int) int64 {
	return int64(requestBytes + size + headerBytes*fields)
}

// Memory returns the configuration of a limiter of the bytes that requests hold.
func Memory(timers teaseltack.Timers, limit int64) Config {
	return Config{
		Timers: timers, Limit: limit, Reserve: limit / smallDivisor, SmallAmount: smallBytes, Patience: patience, MinProgress: minBytes,
	}
}

// ConnectionBytes is the memory in bytes that an open connection takes beside its requests:
// a goroutine, its buffers and the kernel's record of it.
const ConnectionBytes = 16 << 10

// Connections returns the configuration of a limiter of open connections, each of which
// holds 1. A connection without a request in progress stalls as a request does.
func Connections(timers teaseltack.Timers, limit int64) Config {
	return Config{Timers: timers, Limit: limit, Patience: patience, MinProgress: minBytes}
}

// freeAnswerBytes is the size in bytes up to which an answer is read whatever the other
// answers hold, so that answers of usual size never wait for or fail beside large ones.
const freeAnswerBytes = 64 << 10

// Answers returns the configuration of a limiter of the bytes of the answers that are
// being read.
func Answers(timers teaseltack.Timers, limit int64) Config {
	return Config{Timers: timers, Limit: limit, Free: freeAnswerBytes}
}

// Limiter counts what its holders hold. It is safe for concurrent use. A nil limiter
// bounds nothing, and its holders are nil.
type Limiter struct {
	cfg Config

	mu   sync.Mutex
	held int64
	// heldByLarge is the part of held that is not held by small holders.
	heldByLarge int64
	// receiving holds the holders that may stall, in order of their last progress.
	receiving *list.List
}

// New returns a limiter without holders.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, receiving: list.New()}
}

// Held returns what all holders hold.
func (l *Limiter) Held() int64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Enter adds a holder that is receiving and holds nothing yet. It holds what it takes
// until it is released. evict is called once, without locks, if the holder has to make
// room; it must end what the holder stands for.
func (l *Limiter) Enter(evict func()) *Holder {
	if l == nil {
		return nil
	}
	h := &Holder{limiter: l, evict: evict, references: 1}
	l.mu.Lock()
	defer l.mu.Unlock()
	h.receive()
	return h
}

// makeRoom evicts the holders that have stalled for longest until amount more fits, and
// reports whether it does. It evicts none if that would not be enough. The caller holds
// l.mu and calls the returned functions without it.
func (l *Limiter) makeRoom(taker *Holder, amount int64) (evictions []func(), ok bool) {
	stalledSince := l.cfg.Timers.Now().Add(-l.cfg.Patience)
	freed, freedByLarge := int64(0), int64(0)
	var stalled []*Holder
	for e := l.receiving.Front(); e != nil && !l.fits(taker, amount, freed, freedByLarge); e = e.Next() {
		h := e.Value.(*Holder)
		if h.progressAt.After(stalledSince) {
			break
		}
		helps := h.large || l.held-freed+amount > l.cfg.Limit
		if h == taker || h.amount == 0 || !helps {
			continue
		}
		stalled = append(stalled, h)
		freed += h.amount
		if h.large {
			freedByLarge += h.amount
		}
	}
	if !l.fits(taker, amount, freed, freedByLarge) {
		return nil, false
	}
	for _, h := range stalled {
		h.drop()
		evictions = append(evictions, h.evict)
	}
	return evictions, true
}

// fits reports whether the taker may hold amount more once freed is free, of which large
// holders hold freedByLarge. The caller holds l.mu.
func (l *Limiter) fits(taker *Holder, amount, freed, freedByLarge int64) bool {
	total := taker.amount + amount
	if l.held-freed+amount > l.cfg.Limit {
		return false
	}
	if total <= l.cfg.SmallAmount {
		return true
	}
	byLarge := l.heldByLarge - freedByLarge + amount
	if !taker.large {
		byLarge += taker.amount
	}
	return byLarge <= l.cfg.Limit-l.cfg.Reserve
}

// counted returns the part of a holder's size that is counted.
func (l *Limiter) counted(size int64) int64 {
	return max(size-l.cfg.Free, 0)
}
