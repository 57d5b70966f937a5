// Package e2e tests the teaseltack program as separate processes on loopback.
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

// waitTimeout limits how long a test waits for a condition; no assertion on timing
// depends on it.
const waitTimeout = 60 * time.Second

// program is the path of the program that run builds.
var program string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "teaseltack-e2e")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "teaseltack")
	build := exec.Command("go", "build", "-o", program, "teaseltack/cmd/teaseltack")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the program: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// process is a running program and its output.
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
	return startWithin(t, 0, arguments...)
}

// startWithin starts the program with a limit on the descriptors that it may open; 0
// stands for the limit of the test's own process.
func startWithin(t *testing.T, descriptors int, arguments ...string) *process {
	t.Helper()
	command := exec.Command(program, arguments...)
	if descriptors > 0 {
		script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
		command = exec.Command("sh", append([]string{"-c", script, program}, arguments...)...)
	}
	p := &process{t: t, command: command, done: make(chan struct{})}
	reader, writer := io.Pipe()
	p.command.Stdout = writer
	p.command.Stderr = writer
	assert.NilError(t, p.command.Start())
	go p.readOutput(reader)
	go func() {
		p.err = p.command.Wait()
		_ = writer.Close()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) readOutput(reader io.Reader) {
	lines := bufio.NewScanner(reader)
	for lines.Scan() {
		p.mu.Lock()
		p.output.WriteString(lines.Text() + "\n")
		p.mu.Unlock()
	}
}

func (p *process) outputText() string {
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

// stop sends SIGTERM and returns the error of the process after it has exited.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	<-p.done
	return p.err
}

// waitForOutput waits until the output matches the pattern and returns the first
// group of the match.
func (p *process) waitForOutput(pattern string) string {
	p.t.Helper()
	expression := regexp.MustCompile(pattern)
	var found string
	waitUntil(p.t, "output matches "+pattern, func() bool {
		match := expression.FindStringSubmatch(p.outputText())
		if match == nil {
			return false
		}
		found = match[1]
		return true
	})
	return found
}

// waitUntil polls until the condition is true, and fails the test after
// waitTimeout.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", waitTimeout, description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// daemon is a daemon process; it keeps its addresses across restarts.
type daemon struct {
	*process
	t                             *testing.T
	host                          string
	settings                      string
	descriptors                   int
	outer, inner, peer, operators string
}

// fleet is a platform with daemons and backend servers.
type fleet struct {
	t        *testing.T
	platform *process
	address  string
	daemons  []*daemon
	backends []*process
	// descriptors limits what the processes of the daemons may open; 0 stands for no limit
	// of their own.
	descriptors int
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, address: freeAddress(t)}
	f.startPlatform()
	return f
}

func (f *fleet) startPlatform(arguments ...string) {
	f.platform = start(f.t, append([]string{"platform", "--listen", f.address}, arguments...)...)
	f.platform.waitForOutput(`platform at (\S+)`)
}

// portsTried counts the ports that freeAddress has tried. They are below the system's
// range for outgoing connections, so that no outgoing connection takes a port before
// the process that is given it listens there.
var portsTried atomic.Int32

// freeAddress returns an address with a port on which no process listens now.
func freeAddress(t *testing.T) string {
	t.Helper()
	const first, count, step = 12000, 18000, 500
	for {
		port := first + (os.Getpid()*step+int(portsTried.Add(1)))%count
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		assert.NilError(t, listener.Close())
		return address
	}
}

// addDaemon starts a daemon with the daemons started before as its peers.
func (f *fleet) addDaemon(host, dataCentre, extraSettings string) {
	f.t.Helper()
	d := &daemon{t: f.t, host: host, descriptors: f.descriptors, outer: freeAddress(f.t), inner: freeAddress(f.t), peer: freeAddress(f.t), operators: freeAddress(f.t)}
	var peers []string
	for _, other := range f.daemons {
		peers = append(peers, fmt.Sprintf("%q", other.peer))
	}
	settings := fmt.Sprintf(`{"host": %q, "data-centre": %q, "outer-address": %q, "inner-address": %q, "peer-address": %q, "operator-address": %q,
		"platform-address": %q, "peers": [%s] %s}`, host, dataCentre, d.outer, d.inner, d.peer, d.operators, f.address, strings.Join(peers, ","), extraSettings)
	d.settings = filepath.Join(f.t.TempDir(), host+".hujson")
	assert.NilError(f.t, os.WriteFile(d.settings, []byte(settings), 0o600))
	f.daemons = append(f.daemons, d)
	d.launch()
}

func (d *daemon) launch() {
	d.t.Helper()
	d.process = startWithin(d.t, d.descriptors, "daemon", "--settings", d.settings)
	waitUntil(d.t, d.host+" is ready", func() bool { return status("http://"+d.operators+"/readyz") == http.StatusOK })
}

// addBackend starts a backend server that announces itself to the daemon, and
// waits until every daemon reports it as ready.
func (f *fleet) addBackend(d *daemon, service string, extraArguments ...string) {
	f.t.Helper()
	arguments := append([]string{"backend", "--service", service, "--inner", d.inner, "--log-runs"}, extraArguments...)
	p := start(f.t, arguments...)
	f.backends = append(f.backends, p)
	f.waitForServing(d.host, "ready")
}

// waitForServing waits until every daemon reports the host's backend server in the
// given state.
func (f *fleet) waitForServing(host, state string) {
	f.t.Helper()
	pattern := regexp.MustCompile(`(?m)^` + host + `\s.*\s` + state + `\s`)
	for _, d := range f.daemons {
		waitUntil(f.t, host+" is "+state+" at "+d.host, func() bool { return pattern.MatchString(command(d, "status")) })
	}
}

// command runs an operator command against a daemon and returns its output; it
// ignores the exit code.
func command(d *daemon, arguments ...string) string {
	output, _ := exec.Command(program, append(arguments, "--daemon", d.operators)...).CombinedOutput()
	return string(output)
}

// apply changes policies and waits until they are in force at every daemon.
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

// reply is the response that a caller received. Without a response, the status is 0
// and the reason is the error.
type reply struct {
	status  int
	verdict string
	reason  string
	ticket  string
	body    string
}

// post sends a request to a daemon; headers alternates names and values.
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

// runs counts the runs of requests with the key at all backend servers.
func (f *fleet) runs(key string) int {
	count := 0
	for _, b := range f.backends {
		count += strings.Count(b.outputText(), " key="+key+" ")
	}
	return count
}

// ticketHome returns the host that issued a ticket, or an empty string if the
// ticket is malformed.
func ticketHome(ticket string) string {
	decoded, err := base64.RawURLEncoding.DecodeString(ticket)
	if err != nil {
		return ""
	}
	host, _, _ := strings.Cut(string(decoded), "~")
	return host
}
