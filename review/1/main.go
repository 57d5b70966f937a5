// Command case-1 shows that a payment runs twice after its home's machine has lost power
// and the machine's address has gone to a machine of another service.
package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"teaseltack/review/stand"
)

const (
	payments = 24
	// work is how long the endpoints work on a payment, in the range of the data sheet.
	work = 600 * time.Millisecond
	// budget is the time budget of a payment in the data sheet.
	budget = 5 * time.Second
	// reuseAfter is the time from the loss of the machine to the reuse of its address, above
	// the pages' reuse_after_s of 2 s.
	reuseAfter = 3 * time.Second
)

func main() {
	stand.Run(script)
}

func script(w *stand.World) bool {
	w.Configure(7, stand.Route{Name: "r-pay", Host: "pay.example", Prefix: "/pay/", Service: "till", TimeoutS: budget.Seconds()})
	entry := w.NewSidecar(stand.Machine{Host: "sidecar-a-1", Service: "orders"})
	other := w.NewSidecar(stand.Machine{Host: "sidecar-a-3", Service: "till"})
	lost := w.NewSidecar(stand.Machine{Host: "sidecar-a-2", Service: "till"})
	address := w.NewAddress(lost.Peer)
	lost.PeerAddress = address.Host
	lost.WriteSettings()
	for _, s := range []*stand.Sidecar{entry, other, lost} {
		s.Start()
	}
	endpoints := []*stand.Endpoint{
		w.NewEndpoint("i-orders-1", entry, work, []byte("order")),
		w.NewEndpoint("i-till-lost", lost, work, []byte("paid")),
		w.NewEndpoint("i-till-other", other, work, []byte("paid")),
	}
	for _, e := range endpoints {
		e.Announce()
	}
	for _, s := range []*stand.Sidecar{entry, other, lost} {
		s.AwaitReady()
	}
	time.Sleep(4 * time.Second)

	client := w.NewClient(entry)
	answers := make([]stand.Answer, payments)
	var sending sync.WaitGroup
	for i := range payments {
		sending.Go(func() {
			answers[i] = client.Send(fmt.Sprintf("payment-%02d", i), "POST", "pay.example", "/pay/1", []byte("17 shillings"), budget)
		})
	}
	stand.WaitFor("payments run at both endpoints", 2*time.Second, func() bool {
		return len(endpoints[1].Runs()) > 0 && len(endpoints[1].Runs())+len(endpoints[2].Runs()) >= payments
	})
	if w.Trouble {
		replaceMachine(w, lost, endpoints[1], address)
	}
	sending.Wait()
	time.Sleep(time.Second)
	return judge(w, answers, endpoints)
}

// replaceMachine takes the power from a machine and, after reuse_after_s, gives its
// address to a new machine of another service.
func replaceMachine(w *stand.World, lost *stand.Sidecar, endpoint *stand.Endpoint, address *stand.Address) {
	w.Log("machine %s loses power for good", lost.Host)
	dark := time.Now()
	address.GoDark()
	endpoint.Crash()
	lost.Kill()
	time.Sleep(time.Until(dark.Add(reuseAfter)))
	w.Log("a new machine gets the address %s", address.Host)
	address.Refuse()
	next := w.NewSidecar(stand.Machine{Host: "sidecar-a-4", Service: "dispatch", PeerAddress: address.Host})
	next.Start()
	stand.WaitFor("the new daemon listens", 5*time.Second, func() bool {
		probe, err := net.Dial("tcp", next.Peer)
		if err == nil {
			_ = probe.Close()
		}
		return err == nil
	})
	address.LeadTo(next.Peer)
	w.Log("the daemon of the new machine listens")
}

func judge(w *stand.World, answers []stand.Answer, endpoints []*stand.Endpoint) bool {
	runs := map[string][]string{}
	for _, e := range endpoints {
		for _, r := range e.Runs() {
			runs[r.ID] = append(runs[r.ID], r.Endpoint)
		}
	}
	twice, refused := 0, 0
	for _, a := range answers {
		if len(runs[a.ID]) > 1 {
			twice++
			w.Log("TWICE: %s ran at %v, answered %d", a.ID, runs[a.ID], a.Status)
		}
		if len(runs[a.ID]) > 0 && (a.Status == 503 || a.Status == 429) {
			refused++
			w.Log("REFUSED: %s ran at %v, answered %d", a.ID, runs[a.ID], a.Status)
		}
	}
	w.Log("%d payments, %d ran twice, %d were refused although they had run", len(answers), twice, refused)
	return twice+refused > 0
}
