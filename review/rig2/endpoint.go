package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// endpoint is an application endpoint. The query of a request says how long it works
// (work, in milliseconds) and how many bytes it answers (answer).
type endpoint struct {
	rig                   *rig
	id, service, address  string
	born                  int64
	slots                 int
	announce              string
	bodyBytesPerSecond    int
	server                *http.Server
	stopPings             chan struct{}
	mu                    sync.Mutex
	state                 string
	leaving, silent, down bool
	seq                   int
	runs                  []*execution
}

// execution is one run of a request.
type execution struct {
	id, uri string
	arrived time.Time
	// ended is when the endpoint had written its answer; zero if it never did.
	ended time.Time
}

// addEndpoint starts an endpoint beside the machine's daemon. It pings the daemon.
func (m *machine) addEndpoint(id string) *endpoint {
	listener, err := net.Listen("tcp", m.endpoint)
	check(err)
	e := &endpoint{
		rig: m.rig, id: id, service: m.service, address: m.endpoint, born: time.Now().UnixMilli(), slots: 65,
		announce: m.announce, stopPings: make(chan struct{}), state: "ready",
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	m.rig.endpoints = append(m.rig.endpoints, e)
	go func() {
		for {
			if !e.isSilent() {
				_, _ = e.send("instances.heartbeat", e.ping())
			}
			select {
			case <-e.stopPings:
				return
			case <-time.After(beatInterval):
			}
		}
	}()
	m.rig.note("endpoint %s of %s started beside %s", id, m.service, m.name)
	return e
}

func (e *endpoint) isSilent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silent
}

// ping returns the body of the next ping.
func (e *endpoint) ping() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	body, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": "zone-a", "version": "v1", "slots": e.slots,
		"state": e.state, "cold_left_s": 0, "seq": e.seq, "born": e.born,
	})
	check(err)
	return body
}

// send sends a call about the endpoint to its daemon and returns the status.
func (e *endpoint) send(call string, body []byte) (int, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	target := "http://" + e.announce + "/teaseltack/rpc?call=" + call + "&of=" + url.QueryEscape(e.id)
	response, err := client.Post(target, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

// drain reports that the endpoint is draining, and returns when that is confirmed.
func (e *endpoint) drain() time.Time {
	e.mu.Lock()
	e.state, e.leaving = "draining", true
	e.mu.Unlock()
	status, err := e.send("instances.heartbeat", e.ping())
	if err != nil || status != http.StatusOK {
		panic(fmt.Sprintf("draining was not confirmed: %d %v", status, err))
	}
	e.rig.note("endpoint %s: draining is confirmed", e.id)
	return time.Now()
}

// deregister tells the daemon that the endpoint leaves, and returns when that is confirmed.
func (e *endpoint) deregister() time.Time {
	e.mu.Lock()
	e.leaving, e.silent = true, true
	e.mu.Unlock()
	status, err := e.send("instances.deregister", nil)
	if err != nil || status != http.StatusOK {
		panic(fmt.Sprintf("the leaving was not confirmed: %d %v", status, err))
	}
	e.rig.note("endpoint %s: its leaving is confirmed", e.id)
	return time.Now()
}

func (e *endpoint) close() {
	e.mu.Lock()
	if !e.down {
		e.down = true
		close(e.stopPings)
	}
	e.mu.Unlock()
	_ = e.server.Close()
}

// executions returns the runs so far.
func (e *endpoint) executions() []execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]execution, 0, len(e.runs))
	for _, x := range e.runs {
		list = append(list, *x)
	}
	return list
}

// ServeHTTP serves status checks and requests.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	if leaving {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Teaseltack-Instance-Id", e.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Teaseltack-Attempt-Id")
	w.Header().Set("X-Teaseltack-Attempt-Id", id)
	if target := r.Header.Get("X-Teaseltack-Target-Instance"); target != "" && target != e.id {
		w.Header().Set("X-Teaseltack-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := &execution{id: id, uri: r.RequestURI, arrived: arrived}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	e.rig.note("endpoint %s: runs %s", e.id, id)
	if !e.readBody(r) {
		return
	}
	w.Header().Set("X-Teaseltack-Server-Stamp", "stamp-"+id)
	work, _ := strconv.Atoi(r.URL.Query().Get("work"))
	limit, _ := strconv.Atoi(r.Header.Get("X-Teaseltack-Deadline-Ms"))
	status := http.StatusOK
	if limit < work {
		work, status = limit, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("answer"))
	body := bytes.Repeat([]byte("a"), max(size, 20))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return
	}
	e.mu.Lock()
	run.ended = time.Now()
	e.mu.Unlock()
	e.rig.note("endpoint %s: answered %s with %d and %d bytes", e.id, id, status, len(body))
}

// readBody reads the body, at most bodyBytesPerSecond if that is set.
func (e *endpoint) readBody(r *http.Request) bool {
	const pause = 20 * time.Millisecond
	if e.bodyBytesPerSecond == 0 {
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	}
	part := make([]byte, int(float64(e.bodyBytesPerSecond)*pause.Seconds()))
	for {
		_, err := io.ReadFull(r.Body, part)
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return true
		}
		if err != nil {
			return false
		}
		time.Sleep(pause)
	}
}
