package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["odd-ping"] = oddPing
	cases["outage"] = outage
	cases["drill"] = drill
}

// payments sends non-idempotent requests at the machine's daemon until the returned
// function is called, which waits for the last answers.
func (r *rig) payments(m *machine, every time.Duration, uri string) (stop func() map[string]answer) {
	var mu sync.Mutex
	answers := map[string]answer{}
	var open sync.WaitGroup
	done := make(chan struct{})
	open.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(every):
			}
			open.Go(func() {
				id := newID()
				a, err := r.ask(m.outer, http.MethodPost, uri, id, 5*time.Second, []byte("a payment"))
				if err != nil {
					a.status = -1
				}
				mu.Lock()
				defer mu.Unlock()
				answers[id] = a
			})
		}
	})
	return func() map[string]answer {
		close(done)
		open.Wait()
		return answers
	}
}

// judgeLeaving counts the requests that reached the endpoint later than drainTime after its
// leaving was confirmed, from the time on at which all machines are in touch.
func (r *rig) judgeLeaving(e *endpoint, confirmed, inTouch time.Time, answers map[string]answer) int {
	bound := confirmed.Add(drainTime)
	late, lost := 0, 0
	for _, x := range e.executions() {
		if !x.arrived.After(bound) || !x.arrived.After(inTouch) {
			continue
		}
		late++
		a := answers[x.id]
		if a.status != http.StatusOK {
			lost++
		}
		if late <= 5 || a.status != http.StatusOK {
			r.note("request %s reached %s %.2f s after its leaving was confirmed, allowed is %v; the client got %d", x.id, e.id, x.arrived.Sub(confirmed).Seconds(), drainTime, a.status)
		}
	}
	r.note("%d requests reached %s too late, allowed is none; %d of them got no success", late, e.id, lost)
	return late
}

// twoTills starts a deployment of two endpoints of one service.
func (r *rig) twoTills() (one, two *machine, leaves *endpoint) {
	r.configure(rule{"payment-post", "non_idempotent", "/payment/", "till", 5})
	one, two = r.addMachine("machine-1", "till"), r.addMachine("machine-2", "till")
	leaves = one.addEndpoint("i-1")
	two.addEndpoint("i-2")
	r.awaitReady()
	return one, two, leaves
}

// oddPing lets a ping of another writer, with fields missing, arrive while an endpoint is
// draining.
func oddPing(r *rig) int {
	_, two, leaves := r.twoTills()
	stop := r.payments(two, 25*time.Millisecond, "/payment/a?work=400")
	time.Sleep(time.Second)
	confirmed := leaves.drain()
	time.Sleep(time.Second)
	if r.trouble {
		body, err := json.Marshal(map[string]any{
			"service": leaves.service, "address": leaves.address, "slots": leaves.slots, "state": "ready", "seq": 1, "born": leaves.born + 1000,
		})
		check(err)
		status, err := leaves.send("instances.heartbeat", body)
		r.note("a ping of another writer, without zone, version and cold_left_s: %s: answer %d, error %v", body, status, err)
	}
	time.Sleep(time.Until(confirmed.Add(6 * time.Second)))
	leaves.close()
	r.note("endpoint %s has ended", leaves.id)
	return r.judgeLeaving(leaves, confirmed, confirmed, stop())
}

// latePing sends the endpoint's next ping and lets it arrive after the delay, on a
// connection of its own.
func (r *rig) latePing(e *endpoint, delay time.Duration) {
	body := e.ping()
	r.note("endpoint %s sends the ping %s, which arrives %v later", e.id, body, delay)
	time.AfterFunc(delay, func() {
		status, err := e.send("instances.heartbeat", body)
		r.note("the late ping has arrived: answer %d, error %v", status, err)
	})
}

// outage takes the store away while an endpoint leaves, and restarts the daemon that
// confirmed the leaving, as planned work.
func outage(r *rig) int {
	one, two, leaves := r.twoTills()
	stop := r.payments(two, 25*time.Millisecond, "/payment/a?work=400")
	time.Sleep(time.Second)
	began := time.Now()
	r.latePing(leaves, 5*time.Second)
	inTouch := began
	if r.trouble {
		r.store.setBusy(true)
		r.note("the store is down (503)")
		time.AfterFunc(4500*time.Millisecond, func() {
			r.store.setBusy(false)
			r.note("the store is back")
		})
		inTouch = began.Add(4500*time.Millisecond + stableWindow)
	}
	time.Sleep(400 * time.Millisecond)
	confirmed := leaves.deregister()
	time.Sleep(200 * time.Millisecond)
	one.stop()
	one.start()
	if restarted := time.Now().Add(stableWindow); restarted.After(inTouch) {
		inTouch = restarted
	}
	time.Sleep(time.Until(began.Add(4900 * time.Millisecond)))
	r.note("keys of the tombstones: %v", r.store.keys("teaseltack/left/"))
	time.Sleep(time.Until(began.Add(11 * time.Second)))
	leaves.close()
	r.note("endpoint %s has ended", leaves.id)
	return r.judgeLeaving(leaves, confirmed, inTouch, stop())
}

// drill lets the store come back from a copy some seconds old after an endpoint has left,
// and then restarts the daemon that confirmed the leaving, as planned work.
func drill(r *rig) int {
	one, two, leaves := r.twoTills()
	stop := r.payments(two, 25*time.Millisecond, "/payment/a?work=400")
	time.Sleep(time.Second)
	old := r.store.copy()
	time.Sleep(time.Second)
	began := time.Now()
	r.latePing(leaves, 5*time.Second)
	time.Sleep(200 * time.Millisecond)
	confirmed := leaves.deregister()
	r.note("keys of the tombstones: %v", r.store.keys("teaseltack/left/"))
	if r.trouble {
		r.store.setBusy(true)
		time.Sleep(300 * time.Millisecond)
		r.store.restore(old)
		r.store.setBusy(false)
		r.note("the store was away for 0.3 s and is back from a copy %.1f s old", time.Since(began).Seconds()+1)
	}
	time.Sleep(300 * time.Millisecond)
	one.stop()
	one.start()
	inTouch := time.Now().Add(stableWindow)
	time.Sleep(500 * time.Millisecond)
	r.note("keys of the tombstones: %v", r.store.keys("teaseltack/left/"))
	time.Sleep(time.Until(began.Add(11 * time.Second)))
	leaves.close()
	r.note("endpoint %s has ended", leaves.id)
	return r.judgeLeaving(leaves, confirmed, inTouch, stop())
}
