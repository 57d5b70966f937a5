package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const shopPolicies = `{"set": [
	{"service": "orders", "method": "look-up", "class": "normal", "lifetime-ms": 5000, "retries": 4},
	{"service": "till", "method": "check", "class": "normal", "lifetime-ms": 5000, "retries": 4},
	{"service": "till", "method": "pay", "class": "protected", "lifetime-ms": 5000, "non-idempotent": true, "retries": 4},
]}`

// newShop starts three daemons with two till servers and one orders server, which
// makes nested calls to till.
func newShop(t *testing.T, extraSettings string, tillFlags ...string) *fleet {
	t.Helper()
	f := newFleet(t)
	f.addDaemon("till-1", "a", extraSettings)
	f.addDaemon("till-2", "b", extraSettings)
	f.addDaemon("orders-1", "a", extraSettings)
	f.apply(shopPolicies)
	f.addBackend(f.daemons[0], "till", tillFlags...)
	f.addBackend(f.daemons[1], "till", tillFlags...)
	f.addBackend(f.daemons[2], "orders", "--nested", "till/check")
	return f
}

func TestChainThroughSeparateProcesses(t *testing.T) {
	t.Parallel()
	f := newShop(t, "")
	for _, d := range f.daemons {
		r := post(d, "/orders/look-up", "")
		assert.Equal(t, r.status, http.StatusOK, "%+v", r)
		assert.Equal(t, r.verdict, "ran")
	}
	bad := post(f.daemons[0], "/orders/look-up", "", "Teaseltack-Class", "protected")
	assert.Equal(t, bad.status, http.StatusBadRequest)
	assert.Equal(t, bad.verdict, "not-run")
	history := command(f.daemons[1], "policy", "history")
	assert.Assert(t, strings.Contains(history, "policy till/pay"), history)
}

func TestBadSettingsExitWith2(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "bad.hujson")
	assert.NilError(t, os.WriteFile(path, []byte("{\n\"hots\": \"a\"\n}"), 0o600))
	output, err := exec.Command(program, "daemon", "--settings", path).CombinedOutput()
	assert.Assert(t, err != nil)
	var exit *exec.ExitError
	assert.Assert(t, errors.As(err, &exit))
	assert.Equal(t, exit.ExitCode(), 2)
	assert.Assert(t, strings.Contains(string(output), ":2:1: hots is an unknown key"), "%s", output)
}

// TestHomeKilledInTheMiddleOfARun guards against a second run of a payment and
// against a wrong verdict. The home is killed while it runs the payment and is
// restarted, and the caller retries with the same ticket and key at every daemon.
func TestHomeKilledInTheMiddleOfARun(t *testing.T) {
	t.Parallel()
	f := newShop(t, "", "--work", "400ms", "--spread", "0")
	ticket := ticketOfTill1(t, f)
	first := make(chan reply)
	go func() {
		first <- post(f.daemons[2], "/till/pay", "", "Teaseltack-Ticket", ticket, "Idempotency-Key", "killed")
	}()
	time.Sleep(150 * time.Millisecond)
	f.daemons[0].kill()
	r := <-first
	assert.Equal(t, r.verdict, "may-have-run", "%+v", r)
	f.daemons[0].launch()
	for _, d := range f.daemons {
		retry := post(d, "/till/pay", "", "Teaseltack-Ticket", ticket, "Idempotency-Key", "killed", "Teaseltack-Attempt", "1")
		assert.Equal(t, retry.verdict, "may-have-run", "%+v", retry)
	}
	assert.Assert(t, f.runs("killed") <= 1)
}

// ticketOfTill1 returns a ticket that was issued by the host till-1.
func ticketOfTill1(t *testing.T, f *fleet) string {
	t.Helper()
	var ticket string
	waitUntil(t, "a ticket of till-1", func() bool {
		r := post(f.daemons[2], "/teaseltack/v1/tickets?service=till&method=pay", "")
		var response struct{ Tickets []string }
		if json.Unmarshal([]byte(r.body), &response) != nil || len(response.Tickets) != 1 {
			return false
		}
		ticket = response.Tickets[0]
		return ticketHome(ticket) == "till-1"
	})
	return ticket
}

func TestKeysThroughManyEntriesAtOnce(t *testing.T) {
	t.Parallel()
	f := newShop(t, "")
	const keys, copies = 10, 6
	var group sync.WaitGroup
	for key := range keys {
		for i := range copies {
			group.Go(func() {
				post(f.daemons[i%3], "/till/pay", "", "Idempotency-Key", fmt.Sprintf("key-%d", key), "Teaseltack-Attempt", fmt.Sprint(i))
			})
		}
	}
	group.Wait()
	for key := range keys {
		assert.Equal(t, f.runs(fmt.Sprintf("key-%d", key)), 1)
	}
}

// TestHomeFrozenPastTheExpiry guards against a home that is suspended until its
// tickets have expired and, when it resumes, runs a call that it received with one
// of them.
func TestHomeFrozenPastTheExpiry(t *testing.T) {
	t.Parallel()
	f := newShop(t, `, "ticket-lifetime-s": 2`)
	ticket, home := ticketOfTill1(t, f), f.daemons[0]
	home.signal(syscall.SIGSTOP)
	answered := make(chan reply)
	go func() {
		answered <- post(f.daemons[2], "/till/pay", "", "Teaseltack-Ticket", ticket, "Idempotency-Key", "frozen")
	}()
	time.Sleep(3 * time.Second)
	home.signal(syscall.SIGCONT)
	assert.Equal(t, (<-answered).verdict, "may-have-run")
	retry := post(f.daemons[2], "/till/pay", "", "Teaseltack-Ticket", ticket, "Idempotency-Key", "frozen", "Teaseltack-Attempt", "1")
	assert.Equal(t, retry.verdict, "may-have-run")
	assert.Equal(t, f.runs("frozen"), 0)
}

// TestPlatformOutage guards against wrong behaviour while the platform is down:
// calls without a key must be served, calls with a key but no ticket must be refused
// as not run, configuration changes must be refused, and a new daemon must start
// with the configuration of its peers.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	f := newShop(t, "")
	f.platform.kill()
	assert.Equal(t, post(f.daemons[0], "/orders/look-up", "").status, http.StatusOK)
	keyed := post(f.daemons[0], "/till/pay", "", "Idempotency-Key", "outage", "Teaseltack-Attempt", "0")
	assert.Equal(t, keyed.verdict, "not-run", "%+v", keyed)
	assert.Equal(t, f.runs("outage"), 0)
	refused := command(f.daemons[1], "server", "leave", "till-1")
	assert.Assert(t, strings.Contains(refused, "refused"), refused)
	f.addDaemon("late-1", "a", "")
	assert.Assert(t, strings.Contains(command(f.daemons[3], "policy", "get"), "generation 1"))
	assert.Equal(t, post(f.daemons[3], "/orders/look-up", "").status, http.StatusOK)
}

// TestTicketsOfALeavingHome guards against a second run and a wrong verdict while
// the home is leaving: a retry with a used ticket must receive the stored answer,
// and a call with an unused ticket must be refused by the home itself as not run.
func TestTicketsOfALeavingHome(t *testing.T) {
	t.Parallel()
	f := newShop(t, "")
	used, unused := ticketOfTill1(t, f), ticketOfTill1(t, f)
	first := post(f.daemons[2], "/till/pay", "", "Teaseltack-Ticket", used, "Idempotency-Key", "used", "Teaseltack-Attempt", "0")
	assert.Equal(t, first.status, http.StatusOK, "%+v", first)
	command(f.daemons[1], "server", "leave", "till-1")
	f.waitForServing("till-1", "leaving")
	retry := post(f.daemons[2], "/till/pay", "", "Teaseltack-Ticket", used, "Idempotency-Key", "used", "Teaseltack-Attempt", "1")
	assert.Equal(t, retry.body, first.body, "%+v", retry)
	refused := post(f.daemons[2], "/till/pay", "", "Teaseltack-Ticket", unused, "Idempotency-Key", "unused", "Teaseltack-Attempt", "0")
	assert.Equal(t, refused.verdict, "not-run", "%+v", refused)
	assert.Equal(t, refused.reason, "leaving")
	assert.Equal(t, f.runs("used"), 1)
	assert.Equal(t, f.runs("unused"), 0)
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := newShop(t, "")
	accepted := command(f.daemons[1], "server", "leave", "till-1", "--who", "eve")
	assert.Assert(t, strings.Contains(accepted, "accepted"), accepted)
	f.waitForServing("till-1", "leaving")
	before := strings.Count(f.backends[0].outputText(), "run request-id")
	for i := range 30 {
		assert.Equal(t, post(f.daemons[i%3], "/till/check", "").status, http.StatusOK)
	}
	assert.Equal(t, strings.Count(f.backends[0].outputText(), "run request-id"), before)
	f.daemons[0].kill()
	f.daemons[0].launch()
	f.waitForServing("till-1", "leaving")
	for range 10 {
		assert.Equal(t, post(f.daemons[0], "/till/check", "").status, http.StatusOK)
	}
	assert.Equal(t, strings.Count(f.backends[0].outputText(), "run request-id"), before, "the restarted daemon lost the leaving mark")
	command(f.daemons[1], "server", "leave", "till-2")
	f.waitForServing("till-2", "leaving")
	last := post(f.daemons[2], "/till/check", "")
	assert.Equal(t, last.verdict, "not-run", "%+v", last)
	command(f.daemons[1], "server", "return", "till-1")
	f.waitForServing("till-1", "ready")
	assert.Equal(t, post(f.daemons[2], "/till/check", "").status, http.StatusOK)
}

// TestRollingReplacementLosesNoRequest guards against requests that fail while the
// daemons are replaced one after the other under load. Callers retry at the other
// daemons when one is not ready.
func TestRollingReplacementLosesNoRequest(t *testing.T) {
	t.Parallel()
	f := newShop(t, "")
	stop := make(chan struct{})
	lost := make(chan reply, 1000)
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if r := postToAnyDaemon(f, n); r.status != http.StatusOK {
					lost <- r
				}
			}
		})
	}
	for i, d := range f.daemons {
		assert.NilError(t, d.stop(), d.outputText())
		d.launch()
		f.waitForServing([]string{"till-1", "till-2", "orders-1"}[i], "ready")
	}
	close(stop)
	group.Wait()
	close(lost)
	for r := range lost {
		t.Errorf("request failed at every daemon: %+v", r)
	}
}

// postToAnyDaemon sends a till request to one daemon after the other until one
// answers with 200, as a caller with several addresses does.
func postToAnyDaemon(f *fleet, n int) reply {
	var r reply
	for attempt := range len(f.daemons) {
		r = post(f.daemons[(n+attempt)%len(f.daemons)], "/till/check", "", "Teaseltack-Attempt", fmt.Sprint(attempt))
		if r.status == http.StatusOK {
			return r
		}
	}
	return r
}

// TestPlannedStopCutsNoRequest guards against requests that are cut when all daemons
// are stopped gracefully while the requests, or their nested calls on other hosts,
// are in progress.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	f := newShop(t, "", "--work", "1500ms", "--spread", "0")
	answered := make(chan reply, 3)
	for _, path := range []string{"/till/check", "/orders/look-up", "/till/pay"} {
		go func() { answered <- post(f.daemons[2], path, strings.Repeat("x", 100_000)) }()
	}
	time.Sleep(300 * time.Millisecond)
	for _, d := range f.daemons {
		d.signal(syscall.SIGTERM)
	}
	for range 3 {
		r := <-answered
		assert.Equal(t, r.status, http.StatusOK, "%+v", r)
	}
	for _, d := range f.daemons {
		<-d.done
		assert.NilError(t, d.err, d.outputText())
	}
}

// TestGenerationSurvivesFreezesAndReplacements guards against a daemon that returns
// to an older generation than one that was in force. The platform is frozen during
// a change, so that its result is lost, and is then killed; every daemon but one is
// replaced.
func TestGenerationSurvivesFreezesAndReplacements(t *testing.T) {
	t.Parallel()
	f := newShop(t, "")
	f.platform.signal(syscall.SIGSTOP)
	unknown := command(f.daemons[0], "server", "leave", "till-1", "--change-id", "once")
	assert.Assert(t, !strings.Contains(unknown, "accepted"), unknown)
	f.platform.signal(syscall.SIGCONT)
	waitUntil(t, "the retried change is accepted", func() bool {
		return strings.Contains(command(f.daemons[1], "server", "leave", "till-1", "--change-id", "once"), "accepted: generation 2")
	})
	f.waitForServing("till-1", "leaving")
	f.platform.kill()
	for _, d := range f.daemons[:2] {
		d.kill()
		d.launch()
		waitUntil(t, "generation 2 at "+d.host, func() bool {
			return strings.Contains(command(d, "policy", "get"), "generation 2")
		})
	}
	f.waitForServing("till-1", "leaving")
}

// TestPlannedStopDuringAnUpload guards against an upload that is cut because its
// daemon receives SIGTERM while the caller is still sending the body.
func TestPlannedStopDuringAnUpload(t *testing.T) {
	t.Parallel()
	f := newShop(t, "")
	const chunkCount, chunkBytes = 20, 100_000
	reader, writer := io.Pipe()
	answered := make(chan int, 1)
	go func() {
		response, err := http.Post("http://"+f.daemons[2].outer+"/till/pay", "application/octet-stream", reader)
		if err != nil {
			answered <- 0
			return
		}
		defer func() { _ = response.Body.Close() }()
		answered <- response.StatusCode
	}()
	chunk := make([]byte, chunkBytes)
	for i := range chunkCount {
		if i == chunkCount/4 {
			f.daemons[2].signal(syscall.SIGTERM)
		}
		_, err := writer.Write(chunk)
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
	}
	assert.NilError(t, writer.Close())
	assert.Equal(t, <-answered, http.StatusOK)
	<-f.daemons[2].done
	assert.NilError(t, f.daemons[2].err, f.daemons[2].outputText())
}

// TestSecondStopCutsAndSaysSo guards against a second SIGTERM that does not cut the
// requests in progress, or cuts them without an error exit code and a log line.
func TestSecondStopCutsAndSaysSo(t *testing.T) {
	t.Parallel()
	f := newShop(t, "", "--work", "4s", "--spread", "0")
	go post(f.daemons[0], "/till/pay", "")
	go post(f.daemons[1], "/till/pay", "")
	waitUntil(t, "a call runs at till-1 or till-2", func() bool {
		return strings.Contains(metrics(f.daemons[0])+metrics(f.daemons[1]), "teaseltack_in_flight 1")
	})
	time.Sleep(200 * time.Millisecond)
	for _, d := range f.daemons[:2] {
		d.signal(syscall.SIGTERM)
		time.Sleep(50 * time.Millisecond)
		d.signal(syscall.SIGTERM)
	}
	cutCount := 0
	for _, d := range f.daemons[:2] {
		<-d.done
		if d.err != nil && strings.Contains(d.outputText(), "shut down with requests cut") {
			cutCount++
		}
	}
	assert.Assert(t, cutCount > 0)
}

func metrics(d *daemon) string {
	response, err := http.Get("http://" + d.operators + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	return string(text)
}

// TestCallerWhoLeavesEndsTheWork guards against work that continues after its caller
// has disconnected. The backend servers of the call and of its nested call must both
// log that the run was cancelled (whole=false).
func TestCallerWhoLeavesEndsTheWork(t *testing.T) {
	t.Parallel()
	f := newShop(t, "", "--work", "3s", "--spread", "0")
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.daemons[0].outer+"/orders/look-up", http.NoBody)
	assert.NilError(t, err)
	disconnected := make(chan struct{})
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		close(disconnected)
	}()
	waitUntil(t, "the nested call runs", func() bool {
		return strings.Contains(metrics(f.daemons[0])+metrics(f.daemons[1]), "teaseltack_in_flight 1")
	})
	cancel()
	<-disconnected
	waitUntil(t, "both runs are cancelled", func() bool {
		text := f.backends[0].outputText() + f.backends[1].outputText()
		return strings.Contains(text, "method=check whole=false") && strings.Contains(f.backends[2].outputText(), "method=look-up whole=false")
	})
}
