package usage

import (
	"container/list"
	"time"
)

// Holder is one user of the resource. It is safe for concurrent use. A nil holder may
// hold anything.
type Holder struct {
	limiter *Limiter
	evict   func()

	// The fields below are guarded by limiter.mu.

	// size is what the holder has taken, amount the part of it that is counted.
	size, amount int64
	// large is set while the holder holds more than a small amount.
	large      bool
	references int
	// element is the holder's place among those that are receiving; nil if it is not.
	element    *list.Element
	progressAt time.Time
	// progress is what was received since progressAt.
	progress int64
	evicted  bool
	// with is completed with the holder; it may be nil.
	with *Holder
}

// Take counts amount more. It returns ErrFull if there is no room, also after those that
// have stalled have made room, and to a holder that was evicted, and ErrTooLarge if there
// never is. The holder then holds what it held before.
func (h *Holder) Take(amount int64) error {
	if h == nil {
		return nil
	}
	l := h.limiter
	l.mu.Lock()
	if h.evicted {
		l.mu.Unlock()
		return ErrFull
	}
	total := l.counted(h.size + amount)
	if total > l.cfg.Limit || total > l.cfg.SmallAmount && total > l.cfg.Limit-l.cfg.Reserve {
		l.mu.Unlock()
		return ErrTooLarge
	}
	evictions, ok := l.makeRoom(h, total-h.amount)
	if ok {
		h.add(amount)
	}
	l.mu.Unlock()
	for _, evict := range evictions {
		evict()
	}
	if !ok {
		return ErrFull
	}
	return nil
}

// Give returns a part of what the holder holds.
func (h *Holder) Give(amount int64) {
	if h == nil {
		return
	}
	h.limiter.mu.Lock()
	defer h.limiter.mu.Unlock()
	if !h.evicted {
		h.add(-amount)
	}
}

// Progress counts what the holder has received. Less than the limiter's MinProgress
// counts only together with what follows.
func (h *Holder) Progress(received int64) {
	if h == nil {
		return
	}
	l := h.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	h.progress += received
	if h.element == nil || h.progress < l.cfg.MinProgress {
		return
	}
	h.progress, h.progressAt = 0, l.cfg.Timers.Now()
	l.receiving.MoveToBack(h.element)
}

// Complete marks that the holder receives nothing more, so that it cannot stall.
func (h *Holder) Complete() {
	if h == nil {
		return
	}
	h.limiter.mu.Lock()
	h.leaveReceiving()
	with := h.with
	h.limiter.mu.Unlock()
	with.Complete()
}

// CompleteWith lets other, of another limiter, be complete once h is.
func (h *Holder) CompleteWith(other *Holder) {
	if h == nil {
		return
	}
	h.limiter.mu.Lock()
	defer h.limiter.mu.Unlock()
	h.with = other
}

// Receive marks that the holder receives again.
func (h *Holder) Receive() {
	if h == nil {
		return
	}
	h.limiter.mu.Lock()
	defer h.limiter.mu.Unlock()
	if h.element == nil && !h.evicted {
		h.receive()
	}
}

// Retain keeps what the holder holds until one more call of Release.
func (h *Holder) Retain() {
	if h == nil {
		return
	}
	h.limiter.mu.Lock()
	defer h.limiter.mu.Unlock()
	h.references++
}

// Release returns all that the holder holds once it was called as often as Retain and
// Enter.
func (h *Holder) Release() {
	if h == nil {
		return
	}
	h.limiter.mu.Lock()
	defer h.limiter.mu.Unlock()
	if h.references--; h.references > 0 || h.evicted {
		return
	}
	h.leaveReceiving()
	h.add(-h.size)
}

// receive adds the holder to those that may stall. The caller holds the limiter's lock.
func (h *Holder) receive() {
	h.progress, h.progressAt = 0, h.limiter.cfg.Timers.Now()
	h.element = h.limiter.receiving.PushBack(h)
}

func (h *Holder) leaveReceiving() {
	if h.element != nil {
		h.limiter.receiving.Remove(h.element)
		h.element = nil
	}
}

// add changes what the holder holds. The caller holds the limiter's lock.
func (h *Holder) add(change int64) {
	l := h.limiter
	if h.large {
		l.heldByLarge -= h.amount
	}
	l.held -= h.amount
	h.size += change
	h.amount = l.counted(h.size)
	l.held += h.amount
	h.large = h.amount > l.cfg.SmallAmount
	if h.large {
		l.heldByLarge += h.amount
	}
}

// drop evicts the holder. The caller holds the limiter's lock and calls evict later.
func (h *Holder) drop() {
	h.leaveReceiving()
	h.add(-h.size)
	h.evicted = true
}
