// Package drain holds what the cases share in which a daemon forgets that its endpoint has
// left.
package drain

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"teaseltack/review/stand"
)

const (
	// Bound is drain_s of the site.
	Bound = 2 * time.Second
	// Stable is stable_window_s of the site.
	Stable = 3 * time.Second
	// late is how late the heartbeat arrives.
	late = 4 * time.Second
	// watched is the time after the confirmation in which the requests are watched.
	watched = 12 * time.Second
	work    = 50 * time.Millisecond
)

// Steps are what differs between the cases.
type Steps struct {
	// Names is the end of the names of the part's machines and requests.
	Names string
	// Before runs before the endpoint leaves, After once its leaving is confirmed. Both
	// take the daemon beside the endpoint. After returns when the last disruption ended.
	Before func(w *stand.World, daemon *stand.Sidecar)
	After  func(w *stand.World, daemon *stand.Sidecar) time.Time
}

// Script runs a case: an endpoint leaves while its last heartbeat is still on the way, and
// the daemon beside it is killed and started again. It reports whether the endpoint got
// requests later than drain_s after the confirmation.
func Script(w *stand.World, steps Steps) bool {
	w.Configure(7, stand.Route{Name: "r-till", Host: "till.example", Prefix: "/till/", Service: "till", Idempotent: true, TimeoutS: 2})
	entry := w.NewSidecar(stand.Machine{Host: "sidecar-entry-" + steps.Names, Service: "orders"})
	home := w.NewSidecar(stand.Machine{Host: "sidecar-leaving-" + steps.Names, Service: "till"})
	other := w.NewSidecar(stand.Machine{Host: "sidecar-staying-" + steps.Names, Service: "till"})
	sidecars := []*stand.Sidecar{entry, home, other}
	for _, s := range sidecars {
		s.Start()
	}
	w.NewEndpoint("i-orders", entry, work, []byte("order")).Announce()
	leaving := w.NewEndpoint("i-till-leaving", home, work, []byte("till"))
	leaving.Announce()
	w.NewEndpoint("i-till-staying", other, work, []byte("till")).Announce()
	for _, s := range sidecars {
		s.AwaitReady()
	}
	time.Sleep(5 * time.Second)

	var stopped atomic.Bool
	var clients sync.WaitGroup
	client := w.NewClient(entry)
	clients.Go(func() {
		for i := 0; !stopped.Load(); i++ {
			clients.Go(func() {
				client.Send(fmt.Sprintf("request-%s-%04d", steps.Names, i), "GET", "till.example", "/till/1", nil, 2*time.Second)
			})
			time.Sleep(50 * time.Millisecond)
		}
	})
	time.Sleep(time.Second)
	before := len(leaving.Runs())
	w.Log("endpoint i-till-leaving has run %d requests so far", before)
	if before == 0 {
		panic("the endpoint got no requests before it left")
	}
	steps.Before(w, home)
	leaving.LateHeartbeat(late)
	time.Sleep(50 * time.Millisecond)
	if !leaving.Leave() {
		panic("the leaving of the endpoint was not confirmed")
	}
	confirmed := time.Now()
	calmSince := steps.After(w, home)
	time.Sleep(time.Until(confirmed.Add(watched)))
	stopped.Store(true)
	clients.Wait()
	for _, s := range sidecars {
		s.Kill()
	}
	return judge(w, leaving, confirmed, calmSince)
}

// judge counts the requests that reached the endpoint later than drain_s after the
// confirmation, and later than stable_window_s after the last disruption, when all machines
// were in touch.
func judge(w *stand.World, leaving *stand.Endpoint, confirmed, calmSince time.Time) bool {
	tooLate, inTouch := 0, 0
	for _, r := range leaving.Runs() {
		after := r.At.Sub(confirmed)
		if after <= Bound {
			continue
		}
		tooLate++
		if r.At.Sub(calmSince) <= Stable {
			continue
		}
		inTouch++
		if inTouch <= 10 {
			w.Log("DRAIN: %s reached endpoint %s %v after the confirmation", r.ID, r.Endpoint, after.Round(time.Millisecond))
		}
	}
	w.Log("%d requests reached the endpoint later than drain_s after the confirmation, %d of them while all machines were in touch", tooLate, inTouch)
	return inTouch > 0
}

// Restart kills a daemon and starts it again after a short delay.
func Restart(daemon *stand.Sidecar) {
	daemon.Kill()
	time.Sleep(300 * time.Millisecond)
	daemon.Start()
}
