package stand

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Work is one request at which an endpoint began to work.
type Work struct {
	ID string
	At time.Time
	// Endpoint is the instance id of the endpoint.
	Endpoint string
	Method   string
	// Ended is set when the endpoint has written its answer.
	Ended time.Time
}

// Endpoint is a stand-in of a backend server beside a sidecar.
type Endpoint struct {
	ID      string
	sidecar *Sidecar
	work    time.Duration
	// body is the body of every answer.
	body   []byte
	server *http.Server
	born   int64

	mu        sync.Mutex
	runs      []*Work
	sequence  int
	state     string
	beating   bool
	lateSends sync.WaitGroup
}

// NewEndpoint starts an endpoint at its machine's address, which works on each request
// for the given time. It sends no heartbeat before Announce.
func (w *World) NewEndpoint(id string, s *Sidecar, work time.Duration, body []byte) *Endpoint {
	e := &Endpoint{ID: id, sidecar: s, work: work, body: body, born: time.Now().UnixMilli(), state: "ready"}
	listener, err := net.Listen("tcp", s.App)
	must(err)
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	w.onEnd(e.Crash)
	w.Log("%s: endpoint %s started, service %s", s.Host, id, s.Service)
	return e
}

// Crash ends the endpoint at once.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	e.beating = false
	e.mu.Unlock()
	_ = e.server.Close()
}

// ServeHTTP answers a request as the pages say.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Teaseltack-Attempt-Id")
	if target := r.Header.Get("X-Teaseltack-Target-Instance"); target != "" && target != e.ID {
		w.Header().Set("X-Teaseltack-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	run := &Work{ID: id, At: time.Now(), Endpoint: e.ID, Method: r.Method}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	e.sidecar.world.Log("%s: endpoint %s runs %s (%s %s)", e.sidecar.Host, e.ID, id, r.Method, r.URL)
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Teaseltack-Attempt-Id", id)
	w.Header().Set("X-Teaseltack-Server-Stamp", "stamp-"+e.ID+"-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(e.body)))
	_, _ = w.Write(e.body)
	e.mu.Lock()
	run.Ended = time.Now()
	e.mu.Unlock()
}

// Runs returns the requests at which the endpoint began to work.
func (e *Endpoint) Runs() []Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Work, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// heartbeat returns the next heartbeat.
func (e *Endpoint) heartbeat() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"tz-north-a","version":"v1","slots":65,"state":%q,"cold_left_s":0,"seq":%d,"born":%d}`,
		e.sidecar.Service, e.sidecar.App, e.state, e.sequence, e.born)
}

// announceTimeout is how long an endpoint waits for a confirmation.
const announceTimeout = time.Second

func (e *Endpoint) announce(call string, body []byte) bool {
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+e.sidecar.Control+"/teaseltack/rpc?call="+call+"&of="+e.ID, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// beatPeriod is the period of the heartbeats.
const beatPeriod = 1500 * time.Millisecond

// Announce sends heartbeats until Leave, Crash or StopBeating.
func (e *Endpoint) Announce() {
	e.mu.Lock()
	e.beating = true
	e.mu.Unlock()
	go func() {
		for {
			e.mu.Lock()
			beating := e.beating
			e.mu.Unlock()
			if !beating {
				return
			}
			ok := e.announce("instances.heartbeat", e.heartbeat())
			if !ok {
				time.Sleep(beatPeriod / 10)
				continue
			}
			time.Sleep(beatPeriod)
		}
	}()
}

// LateHeartbeat sends a heartbeat now that arrives after the delay, whatever happens in
// between.
func (e *Endpoint) LateHeartbeat(delay time.Duration) {
	body := e.heartbeat()
	e.sidecar.world.Log("%s: endpoint %s sends a heartbeat, which will arrive %v late", e.sidecar.Host, e.ID, delay)
	e.lateSends.Go(func() {
		time.Sleep(delay)
		ok := e.announce("instances.heartbeat", body)
		e.sidecar.world.Log("%s: the late heartbeat of endpoint %s arrives, answered: %t", e.sidecar.Host, e.ID, ok)
	})
}

// Leave deregisters the endpoint, and reports whether this was confirmed. The endpoint
// sends no heartbeats from then on and continues to serve.
func (e *Endpoint) Leave() bool {
	e.mu.Lock()
	e.beating = false
	e.mu.Unlock()
	ok := e.announce("instances.deregister", nil)
	e.sidecar.world.Log("%s: endpoint %s deregisters, confirmed: %t", e.sidecar.Host, e.ID, ok)
	return ok
}
