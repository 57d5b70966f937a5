// Package e2e tests the program as separate processes on loopback.
package e2e

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitTime bounds every wait on a condition; no test measures with it.
const waitTime = 60 * time.Second

var program string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "teaseltack-e2e")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "teaseltack")
	build := exec.Command("go", "build", "-o", program, "teaseltack/cmd/teaseltack")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the program: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// process is one started program with its output.
type process struct {
	t       *testing.T
	command *exec.Cmd
	done    chan struct{}
	err     error
	mu      sync.Mutex
	output  bytes.Buffer
}

func start(t *testing.T, arguments ...string) *process {
	t.Helper()
	p := &process{t: t, command: exec.Command(program, arguments...), done: make(chan struct{})}
	reader, writer := io.Pipe()
	p.command.Stdout = writer
	p.command.Stderr = writer
	assert.NilError(t, p.command.Start())
	go p.read(reader)
	go func() {
		p.err = p.command.Wait()
		_ = writer.Close()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) read(reader io.Reader) {
	lines := bufio.NewScanner(reader)
	for lines.Scan() {
		p.mu.Lock()
		p.output.WriteString(lines.Text() + "\n")
		p.mu.Unlock()
	}
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

func (p *process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop ends the process gracefully and returns its error.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	<-p.done
	return p.err
}

// find waits for the first match of a pattern's group in the output.
func (p *process) find(pattern string) string {
	p.t.Helper()
	expression := regexp.MustCompile(pattern)
	var found string
	await(p.t, "output matches "+pattern, func() bool {
		match := expression.FindStringSubmatch(p.text())
		if match == nil {
			return false
		}
		found = match[1]
		return true
	})
	return found
}

// await polls until the condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	end := time.Now().Add(waitTime)
	for !holds() {
		if time.Now().After(end) {
			t.Fatalf("waited %v until %s", waitTime, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// daemon is one daemon process; its addresses stay over restarts.
type daemon struct {
	*process
	t                             *testing.T
	host                          string
	settings                      string
	outer, inner, peer, operators string
}

// fleet is a platform, daemons and backend servers.
type fleet struct {
	t        *testing.T
	platform *process
	address  string
	daemons  []*daemon
	backends []*process
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, address: freeAddress(t)}
	f.startPlatform()
	return f
}

func (f *fleet) startPlatform(arguments ...string) {
	f.platform = start(f.t, append([]string{"platform", "--listen", f.address}, arguments...)...)
	f.platform.find(`platform at (\S+)`)
}

// nextPort counts the ports given so far, below the range that the system
// gives to others by itself.
var nextPort atomic.Int32

// freeAddress names a port that nobody listens on now.
func freeAddress(t *testing.T) string {
	t.Helper()
	const first, count, step = 12000, 18000, 500
	for {
		port := first + (os.Getpid()*step+int(nextPort.Add(1)))%count
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		assert.NilError(t, listener.Close())
		return address
	}
}

// addDaemon starts a daemon that knows the earlier ones.
func (f *fleet) addDaemon(host, dataCentre, more string) {
	f.t.Helper()
	d := &daemon{t: f.t, host: host, outer: freeAddress(f.t), inner: freeAddress(f.t), peer: freeAddress(f.t), operators: freeAddress(f.t)}
	var peers []string
	for _, other := range f.daemons {
		peers = append(peers, fmt.Sprintf("%q", other.peer))
	}
	text := fmt.Sprintf(`{"host": %q, "data-centre": %q, "outer-address": %q, "inner-address": %q, "peer-address": %q, "operator-address": %q,
		"platform-address": %q, "peers": [%s] %s}`, host, dataCentre, d.outer, d.inner, d.peer, d.operators, f.address, strings.Join(peers, ","), more)
	d.settings = filepath.Join(f.t.TempDir(), host+".hujson")
	assert.NilError(f.t, os.WriteFile(d.settings, []byte(text), 0o600))
	f.daemons = append(f.daemons, d)
	d.begin()
}

func (d *daemon) begin() {
	d.t.Helper()
	d.process = start(d.t, "daemon", "--settings", d.settings)
	await(d.t, d.host+" is ready", func() bool { return status("http://"+d.operators+"/readyz") == http.StatusOK })
}

// addBackend starts a backend server beside a daemon and waits until all
// daemons know it.
func (f *fleet) addBackend(d *daemon, service string, more ...string) {
	f.t.Helper()
	arguments := append([]string{"backend", "--service", service, "--inner", d.inner, "--log-runs"}, more...)
	p := start(f.t, arguments...)
	f.backends = append(f.backends, p)
	f.awaitServing(d.host, "ready")
}

// awaitServing waits until every daemon sees the host's server in the state.
func (f *fleet) awaitServing(host, state string) {
	f.t.Helper()
	pattern := regexp.MustCompile(`(?m)^` + host + `\s.*\s` + state + `\s`)
	for _, d := range f.daemons {
		await(f.t, host+" is "+state+" at "+d.host, func() bool { return pattern.MatchString(command(d, "status")) })
	}
}

// command runs an operator command against a daemon and returns its output.
func command(d *daemon, arguments ...string) string {
	output, _ := exec.Command(program, append(arguments, "--daemon", d.operators)...).CombinedOutput()
	return string(output)
}

// apply changes policies and waits until they are in force everywhere.
func (f *fleet) apply(policies string) {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), "policies.hujson")
	assert.NilError(f.t, os.WriteFile(path, []byte(policies), 0o600))
	output, err := exec.Command(program, "policy", "apply", path, "--wait", "--daemon", f.daemons[0].operators).CombinedOutput()
	assert.NilError(f.t, err, "%s", output)
}

func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// reply is what a caller got.
type reply struct {
	status  int
	verdict string
	reason  string
	ticket  string
	body    string
}

// post sends a request; headers are given as name and value in turn.
func post(d *daemon, path, body string, headers ...string) reply {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.outer+path, strings.NewReader(body))
	if err != nil {
		return reply{}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{reason: err.Error()}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{reason: err.Error()}
	}
	return reply{
		status: response.StatusCode, body: string(text), verdict: response.Header.Get("Teaseltack-Verdict"),
		reason: response.Header.Get("Teaseltack-Reason"), ticket: response.Header.Get("Teaseltack-Ticket"),
	}
}

// runs counts the runs of requests with a key at all servers.
func (f *fleet) runs(key string) int {
	count := 0
	for _, b := range f.backends {
		count += strings.Count(b.text(), " key="+key+" ")
	}
	return count
}

// homeOf reads the host that a ticket names.
func homeOf(ticket string) string {
	raw, err := base64.RawURLEncoding.DecodeString(ticket)
	if err != nil {
		return ""
	}
	host, _, _ := strings.Cut(string(raw), "~")
	return host
}
