package main

import (
	"fmt"
	"time"
)

func init() { cases["pipelined"] = pipelined }

// pipelined stops a daemon while a client's long request is in progress and a request
// behind it has been answered by its endpoint.
func pipelined(r *rig) int {
	const budget = 6 * time.Second
	r.configure(rule{"look-up", "idempotent", "/look-up/", "orders", 6})
	one := r.addMachine("machine-1", "orders")
	two := r.addMachine("machine-2", "orders")
	endpoints := []*endpoint{one.addEndpoint("i-1"), two.addEndpoint("i-2")}
	r.awaitReady()
	type pair struct {
		c           *client
		long, short string
		sent        time.Time
	}
	var pairs []*pair
	for range 5 {
		c, err := r.dial(one.outer)
		check(err)
		defer c.close()
		check(c.send("GET", "/look-up/a?work=20", newID(), budget, nil))
		if a, err := c.receive(budget); err != nil || a.status != 200 {
			panic(fmt.Sprintf("a request before the stop got %d %v", a.status, err))
		}
		pairs = append(pairs, &pair{c: c})
	}
	for _, p := range pairs {
		p.long, p.short, p.sent = newID(), newID(), time.Now()
		check(p.c.send("GET", "/look-up/long?work=5800", p.long, budget, nil))
		check(p.c.send("GET", "/look-up/short?work=50", p.short, budget, nil))
		r.note("sent %s (works 5.8 s) and behind it %s (works 0.05 s) on a kept connection", p.long, p.short)
	}
	time.Sleep(200 * time.Millisecond)
	if r.trouble {
		go one.stop()
	}
	broken := 0
	for _, p := range pairs {
		first, err := p.c.receive(budget)
		r.note("%s: answer %d, error %v", p.long, first.status, err)
		var second answer
		if err == nil {
			second, err = p.c.receive(budget)
		}
		elapsed := time.Since(p.sent)
		if err == nil {
			r.note("%s: answer %d of request %s", p.short, second.status, second.id)
			continue
		}
		r.note("%s: no answer, the connection ended %.2f s after it was sent: %v", p.short, elapsed.Seconds(), err)
		for _, e := range endpoints {
			for _, x := range e.executions() {
				if x.id == p.short && !x.ended.IsZero() && elapsed < budget-50*time.Millisecond {
					r.note("%s: endpoint %s had answered it %.2f s after it was sent", p.short, e.id, x.ended.Sub(p.sent).Seconds())
					broken++
				}
			}
		}
	}
	return broken
}
