// Command case-4 shows two ways in which a daemon forgets, with its next start, that its
// endpoint has left, and gives the endpoint requests again: the record of the leaving is
// not read, since the store was silent at the start, or was never written, since the store
// was unavailable at the confirmation.
package main

import (
	"time"

	"teaseltack/review/drain"
	"teaseltack/review/stand"
)

const (
	// silence is how long the store is silent to one machine, outage how long it answers
	// 503 after the confirmation; both are below the 4.5 s of the site.
	silence = 2500 * time.Millisecond
	outage  = time.Second
	// pause is the time from the end of the outage to the end of the daemon.
	pause = time.Second
)

func main() {
	stand.Run(func(w *stand.World) bool {
		w.Log("PART 1: the store is silent while the daemon starts")
		notRead := drain.Script(w, drain.Steps{
			Names:  "1",
			Before: func(*stand.World, *stand.Sidecar) {},
			After:  restartInSilence,
		})
		w.Log("PART 2: the store is unavailable while the endpoint leaves")
		notWritten := drain.Script(w, drain.Steps{
			Names:  "2",
			Before: beginOutage,
			After:  endOutageAndRestart,
		})
		w.Log("rule broken in part 1: %t, in part 2: %t", notRead, notWritten)
		return notRead || notWritten
	})
}

func restartInSilence(w *stand.World, daemon *stand.Sidecar) time.Time {
	if !w.Store.Has("teaseltack/left/" + daemon.Host) {
		panic("the store holds no record of the leaving")
	}
	if w.Trouble {
		w.Log("the store gives %s no response", daemon.Host)
		w.Store.SetSilent(daemon.Host, true)
	}
	drain.Restart(daemon)
	time.Sleep(silence)
	w.Store.SetSilent(daemon.Host, false)
	w.Log("the store answers all machines")
	return time.Now()
}

func beginOutage(w *stand.World, _ *stand.Sidecar) {
	if w.Trouble {
		w.Log("the store answers 503")
		w.Store.SetBusy(true)
	}
	time.Sleep(200 * time.Millisecond)
}

func endOutageAndRestart(w *stand.World, daemon *stand.Sidecar) time.Time {
	time.Sleep(outage)
	w.Store.SetBusy(false)
	w.Log("the store serves")
	time.Sleep(pause)
	w.Log("the store holds a record of the leaving: %t", w.Store.Has("teaseltack/left/"+daemon.Host))
	drain.Restart(daemon)
	return time.Now()
}
