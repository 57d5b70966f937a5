// Command case-3 shows that a daemon which is told to stop breaks off answers to clients
// that send further requests before they have read the last one.
package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"teaseltack/review/stand"
)

const (
	grace = 6 * time.Second
	// connections is the number of connections, each with a request per meanPause on
	// average; an answer takes about 15 times readPause.
	connections = 40
	meanPause   = 100 * time.Millisecond
	readPause   = 2 * time.Millisecond
	work        = 60 * time.Millisecond
	budget      = 5 * time.Second
	// answerBytes is the largest answer to an order-lookup in the data sheet.
	answerBytes = 30_000
)

func main() {
	stand.Run(script)
}

func script(w *stand.World) bool {
	w.Configure(7, stand.Route{Name: "r-order", Host: "order.example", Prefix: "/order/", Service: "orders", Idempotent: true, TimeoutS: budget.Seconds()})
	stopping := w.NewSidecar(stand.Machine{Host: "sidecar-a-1", Service: "till"})
	home := w.NewSidecar(stand.Machine{Host: "sidecar-a-2", Service: "orders"})
	stopping.Start()
	home.Start()
	w.NewEndpoint("i-till", stopping, work, []byte("till")).Announce()
	orders := w.NewEndpoint("i-orders", home, work, bytes.Repeat([]byte{'o'}, answerBytes))
	orders.Announce()
	stopping.AwaitReady()
	home.AwaitReady()
	time.Sleep(4 * time.Second)

	var stopped atomic.Bool
	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []stand.Answer
	for i := range connections {
		clients.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				p := &stand.Pipeline{Name: fmt.Sprintf("lookup-%02d-%02d", i, n), Host: "order.example", Path: "/order/1", Budget: budget, MeanPause: meanPause}
				if w.Trouble {
					p.ReadPause = readPause
				}
				got := p.Run(stopping, &stopped)
				mu.Lock()
				answers = append(answers, got...)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	terminated := time.Now()
	stopping.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(grace, stopping.Kill)
	defer kill.Stop()
	// The platform probes each second. After two misses, clients send nothing more.
	for misses := 0; misses < 2 && time.Since(terminated) < grace; {
		time.Sleep(time.Second)
		if misses++; stopping.IsReady() {
			misses = 0
		}
	}
	stopped.Store(true)
	clients.Wait()
	return judge(w, terminated, answers, orders)
}

// judge counts the requests that were passed on to the endpoint and got no complete answer
// before the connection ended. Requests that were sent behind another and not passed on are
// left out, and so are those whose time budget had ended.
func judge(w *stand.World, terminated time.Time, answers []stand.Answer, orders *stand.Endpoint) bool {
	ran := map[string]time.Time{}
	for _, r := range orders.Runs() {
		ran[r.ID] = r.Ended
	}
	served, refused, unread, lost := 0, 0, 0, 0
	for _, a := range answers {
		finished, passedOn := ran[a.ID]
		switch {
		case a.Status == 200:
			served++
		case a.Status != 0:
			refused++
		case !passedOn || finished.IsZero() || a.Ended.Sub(a.Sent) >= budget:
			unread++
		default:
			lost++
			w.Log("LOST: %s was sent %v after the SIGTERM and passed on, its endpoint answered, and its connection ended %v after it was sent without the whole answer",
				a.ID, a.Sent.Sub(terminated).Round(time.Millisecond), a.Ended.Sub(a.Sent).Round(time.Millisecond))
		}
	}
	w.Log("%d requests, %d served, %d refused, %d not passed on or out of time, %d lost after they had been passed on", len(answers), served, refused, unread, lost)
	return lost > 0
}
