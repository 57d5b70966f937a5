package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["rolling"] = rolling }

// rolling stops two machines in turn while payments of clients of the second are in
// progress at the endpoint beside the first.
func rolling(r *rig) int {
	const budget, gap = 5 * time.Second, 1300 * time.Millisecond
	r.configure(rule{"payment-post", "non_idempotent", "/payment/", "till", 5})
	home, entry := r.addMachine("machine-1", "till"), r.addMachine("machine-2", "orders")
	till := home.addEndpoint("i-1")
	entry.addEndpoint("i-2")
	r.awaitReady()
	if r.trouble {
		go home.stop()
	}
	time.Sleep(time.Second)
	type result struct {
		id   string
		took time.Duration
		a    answer
		err  error
	}
	results := make([]result, 5)
	var open sync.WaitGroup
	for i := range results {
		open.Go(func() {
			id, sent := newID(), time.Now()
			a, err := r.ask(entry.outer, http.MethodPost, "/payment/a?work=4600", id, budget, []byte("a payment"))
			results[i] = result{id: id, took: time.Since(sent), a: a, err: err}
		})
	}
	time.Sleep(gap - time.Second)
	stopped := time.Now()
	if r.trouble {
		go entry.stop()
	}
	open.Wait()
	ended := map[string]bool{}
	for _, x := range till.executions() {
		ended[x.id] = !x.ended.IsZero()
	}
	broken := 0
	for _, q := range results {
		r.note("payment %s: answer %d, error %v after %.2f s, %.2f s after the time of the second SIGTERM", q.id, q.a.status, q.err, q.took.Seconds(), time.Since(stopped).Seconds())
		if finished, passedOn := ended[q.id]; passedOn && !finished && q.a.status != http.StatusOK && q.took < budget-100*time.Millisecond {
			r.note("payment %s was broken off while its endpoint was at work", q.id)
			broken++
		}
	}
	return broken
}
