package e2e

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/platform"
	"teaseltack/platform/fake"
)

// kind is one of the two ways to run a daemon.
type kind struct {
	name string
	// listeners are all listeners, bodyListeners those that take requests with bodies.
	listeners, bodyListeners []string
	// frames names the listener of the protocol between daemons that is not HTTP.
	frames string
	// start starts a daemon with a backend server. The daemon's process may open so many
	// descriptors; 0 stands for the limit of the test's own process.
	start func(t *testing.T, descriptors int) *site
	// addEntry starts a daemon without a backend server of the site's service and returns
	// its outer address.
	addEntry func(t *testing.T, s *site) string
}

var kinds = []kind{standAloneKind(), platformKind()}

// shapes returns the shapes of the bodies that a listener may get.
func (k kind) shapes(listener string) []shape {
	if listener == k.frames {
		return []shape{whole, pieces, announcedOver}
	}
	return shapes
}

// operatorPath is a call that both kinds of daemon serve for operators.
const operatorPath = "/teaseltack.operator.v1.OperatorService/GetStatus"

func standAloneKind() kind {
	fleets := map[*site]*fleet{}
	listeners := []string{"outer", "inner", "peer", "operator"}
	return kind{
		name: "stand-alone", listeners: listeners, bodyListeners: listeners,
		start: func(t *testing.T, descriptors int) *site {
			f := newFleet(t)
			f.descriptors = descriptors
			f.addDaemon("home", "a", crowdSettings)
			d := f.daemons[0]
			f.addBackend(d, "shop", "--work", "1ms")
			s := &site{
				daemon: d.process, outer: d.outer, ready: "http://" + d.operators + "/readyz",
				listeners: map[string]string{"outer": d.outer, "inner": d.inner, "peer": d.peer, "operator": d.operators},
				head:      standAloneHead,
			}
			fleets[s] = f
			t.Cleanup(func() { delete(fleets, s) })
			return s
		},
		addEntry: func(t *testing.T, s *site) string {
			f := fleets[s]
			f.addDaemon("entry", "a", crowdSettings)
			f.waitForServing("home", "ready")
			return f.daemons[1].outer
		},
	}
}

// crowdSettings let requests wait for as long as their bodies take.
const crowdSettings = `, "default-lifetime-ms": 30000`

func standAloneHead(listener string) string {
	switch listener {
	case "peer":
		return "POST /teaseltack.peer.v1.PeerService/Forward HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\n"
	case "operator":
		return "POST " + operatorPath + " HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\n"
	}
	return "POST /shop/look-up HTTP/1.1\r\nHost: h\r\nTeaseltack-Lifetime-Ms: 30000\r\n"
}

func platformKind() kind {
	stores := map[*site]string{}
	return kind{
		name: "platform", frames: "peer",
		listeners:     []string{"outer", "ready", "announce", "peer", "metrics"},
		bodyListeners: []string{"outer", "ready", "announce", "peer", "metrics"},
		start: func(t *testing.T, descriptors int) *site {
			store := startStore(t, crowdBody)
			s := startSidecar(t, sidecarHost{name: "home", service: "shop", store: store, memory: hostMemory, descriptors: descriptors})
			stores[s] = store
			t.Cleanup(func() { delete(stores, s) })
			s.checkOrdinaryCaller(t)
			return s
		},
		addEntry: func(t *testing.T, s *site) string {
			entry := startSidecar(t, sidecarHost{name: "entry", service: "other", store: stores[s], memory: hostMemory})
			entry.checkOrdinaryCaller(t)
			return entry.outer
		},
	}
}

// startStore starts a fake of the platform's store, with a configuration that allows bodies
// of up to maxBody bytes, and returns its address.
func startStore(t *testing.T, maxBody int) string {
	t.Helper()
	store := fake.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.PutAsOperator(platform.ConfigKey, fmt.Appendf(nil, `{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_s":3,"idle_timeout_s":15},
		"listeners":[{"host":"a.example","rules":[{"name":"r","kind":"idempotent","target_latency_s":10,"priority":0,"match":{"prefix":"/shop/"},"action":{"service":"shop","timeout_s":30,"max_attempts":2}}]}],
		"clusters":[{"name":"shop","health_path":"/health","max_conns":100},{"name":"other","health_path":"/health","max_conns":100}]}`, maxBody))
	return strings.TrimPrefix(server.URL, "http://")
}

// sidecarHost is a host on the platform.
type sidecarHost struct {
	name, service string
	// store is the address of the platform's store.
	store string
	// memory is the host's memory in bytes.
	memory int
	// descriptors limits what the daemon's process may open; 0 stands for the limit of the
	// test's own process.
	descriptors int
}

// startSidecar starts the daemon of a host with a backend server of its service.
func startSidecar(t *testing.T, h sidecarHost) *site {
	t.Helper()
	server, err := fake.NewServer(fake.ServerConfig{Service: h.service, Address: "127.0.0.1:0", Instance: "i-" + h.name, Slots: 16, Work: time.Millisecond, HeartbeatPeriod: 200 * time.Millisecond})
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	outer, ready, announce, peer, metrics := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	settings := filepath.Join(t.TempDir(), h.name+".hujson")
	assert.NilError(t, os.WriteFile(settings, fmt.Appendf(nil, `{"host": %q, "data-centre": "a", "region": "r", "ip": "127.0.0.1", "service": %q,
		"outer-address": %q, "ready-address": %q, "announce-address": %q, "server-address": %q, "peer-port": %s, "metrics-port": %s,
		"platform-address": %q, "memory-mb": %d, "heartbeat-s": 0.5, "grace-s": 6, "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 48}`,
		h.name, h.service, outer, ready, announce, server.Address(), portOf(peer), portOf(metrics), h.store, h.memory>>20), 0o600))
	process := startWithin(t, h.descriptors, "sidecar", "--settings", settings)
	server.Announce(announce)
	s := &site{
		daemon: process, outer: outer, ready: "http://" + ready + "/teaseltack/readiness", frames: map[string]bool{"peer": true},
		listeners: map[string]string{"outer": outer, "ready": ready, "announce": announce, "peer": peer, "metrics": metrics},
		head:      platformHead,
	}
	waitUntil(t, h.name+" is ready", func() bool { return status(s.ready) == http.StatusOK })
	return s
}

func portOf(address string) string {
	return address[strings.LastIndex(address, ":")+1:]
}

func platformHead(listener string) string {
	switch listener {
	case "ready":
		return "GET /teaseltack/readiness HTTP/1.1\r\nHost: h\r\n"
	case "announce":
		return "POST /teaseltack/rpc?call=instances.heartbeat&of=i HTTP/1.1\r\nHost: h\r\n"
	case "metrics":
		return "POST " + operatorPath + " HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\n"
	}
	return fmt.Sprintf("POST /shop/look-up HTTP/1.1\r\nHost: a.example\r\nX-Teaseltack-Attempt-Id: a-%d\r\nX-Teaseltack-Deadline-Ms: 30000\r\n", attempts.Add(1))
}
