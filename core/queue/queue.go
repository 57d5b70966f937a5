// Package queue orders the waiters of a gate by priority and counts them by
// priority bucket.
package queue

import (
	"container/heap"

	"teaseltack"
)

// Queue is a priority queue of waiters; among equal priorities the earliest arrival
// comes first. It is not safe for concurrent use.
type Queue struct {
	waiters waiterHeap
	// counts is the number of waiters per priority bucket.
	counts [teaseltack.LevelCount]int
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	return len(q.waiters)
}

// Push adds a waiter.
func (q *Queue) Push(w *teaseltack.Waiter) {
	heap.Push(&q.waiters, w)
	q.counts[w.Priority.Bucket()]++
}

// Peek returns the most important waiter, or nil.
func (q *Queue) Peek() *teaseltack.Waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[0]
}

// Pop removes the most important waiter, or returns nil.
func (q *Queue) Pop() *teaseltack.Waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	w := heap.Pop(&q.waiters).(*teaseltack.Waiter)
	q.counts[w.Priority.Bucket()]--
	return w
}

// Remove removes a waiter and reports whether it was queued.
func (q *Queue) Remove(w *teaseltack.Waiter) bool {
	if w.Index < 0 || w.Index >= len(q.waiters) || q.waiters[w.Index] != w {
		return false
	}
	heap.Remove(&q.waiters, w.Index)
	q.counts[w.Priority.Bucket()]--
	return true
}

// Ahead returns the number of waiters whose bucket is at or above the priority's.
func (q *Queue) Ahead(p teaseltack.Priority) int {
	ahead := 0
	for _, n := range q.counts[p.Bucket():] {
		ahead += n
	}
	return ahead
}

// RemoveIf removes and returns every waiter for which remove returns true.
func (q *Queue) RemoveIf(remove func(*teaseltack.Waiter) bool) []*teaseltack.Waiter {
	var removed []*teaseltack.Waiter
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if !remove(w) {
			kept = append(kept, w)
			continue
		}
		q.counts[w.Priority.Bucket()]--
		removed = append(removed, w)
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	if len(removed) == 0 {
		return nil
	}
	for i, w := range q.waiters {
		w.Index = i
	}
	for _, w := range removed {
		w.Index = -1
	}
	heap.Init(&q.waiters)
	return removed
}

type waiterHeap []*teaseltack.Waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[j].Priority.Less(h[i].Priority)
	}
	return h[i].Arrived.Before(h[j].Arrived)
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].Index = i
	h[j].Index = j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*teaseltack.Waiter)
	w.Index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.Index = -1
	return w
}
