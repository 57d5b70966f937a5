package edge_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/admit"
	"teaseltack/core/entry"
	"teaseltack/core/home"
	"teaseltack/core/levels"
	"teaseltack/core/picker"
	"teaseltack/core/scope"
	"teaseltack/core/ticket"
	"teaseltack/core/usage"
	"teaseltack/io/clock"
	"teaseltack/io/edge"
	"teaseltack/io/random"
)

// onePolicy has a policy for the method post only.
type onePolicy struct{}

func (onePolicy) Policy(t teaseltack.Target) (teaseltack.Policy, bool) {
	return teaseltack.Policy{Target: t, Class: teaseltack.ClassHigh, Lifetime: time.Second, Retries: 2}, t.Method == "post"
}

// echoServer returns the request's body and counts its calls.
type echoServer struct{ calls int }

func (s *echoServer) Dispatch(_ context.Context, call *teaseltack.Call, _ string) (*teaseltack.Answer, error) {
	s.calls++
	return &teaseltack.Answer{Status: http.StatusOK, Body: call.Payload.Body}, nil
}

func newServer(t *testing.T, server teaseltack.ServerClient) *httptest.Server {
	t.Helper()
	timers, source := clock.Clock{}, random.Seeded(1)
	levelTable := levels.New(levels.Config{Timers: timers})
	scopes := scope.New(scope.Config{Rand: source})
	gate := admit.New(admit.Config{Timers: timers, Slots: 4, Connections: 8, MaxWait: 100 * time.Millisecond})
	tickets := ticket.New(ticket.Config{Timers: timers, Rand: source, Host: "h", Incarnation: 1, Lifetime: time.Minute, MaxRecords: 10, MaxKeptBytes: 100})
	local := home.New(home.Config{Timers: timers, Host: "h", Gate: gate, Server: server, Tickets: tickets, Scopes: scopes, Levels: levelTable})
	local.SetServing("till", teaseltack.Ready)
	homes := picker.New(picker.Config{Timers: timers, Rand: source})
	homes.Update([]teaseltack.Record{{Host: "h", Service: "till", Serving: teaseltack.Ready, Slots: 4}})
	e := entry.New(entry.Config{Timers: timers, Rand: source, Host: "h", Policies: onePolicy{}, Picker: homes, Levels: levelTable, Scopes: scopes, LocalHome: local})
	api := httptest.NewServer(edge.New(edge.Config{Timers: timers, Rand: source, Entry: e, Log: hclog.NewNullLogger(), MaxBodyBytes: 100}))
	t.Cleanup(func() {
		api.Close()
		gate.Close()
		tickets.Close()
		local.Close()
	})
	return api
}

func TestWholeAnswer(t *testing.T) {
	api := newServer(t, &echoServer{})
	response, err := http.Post(api.URL+"/till/post", "text/plain", strings.NewReader("hello"))
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "hello")
	assert.Equal(t, response.Header.Get("Teaseltack-Verdict"), "ran")
}

// TestBadRequestsDidNotRun guards against invalid requests that reach the backend
// server or are refused without the verdict not-run.
func TestBadRequestsDidNotRun(t *testing.T) {
	long := strings.Repeat("x", 300)
	for name, test := range map[string]struct {
		path, header, value string
		body                string
		status              int
	}{
		"negative lifetime": {"/till/post", "Teaseltack-Lifetime-Ms", "-5", "", 400},
		"huge lifetime":     {"/till/post", "Teaseltack-Lifetime-Ms", "99999999999999999999", "", 400},
		"too many retries":  {"/till/post", "Teaseltack-Retries", "3", "", 400},
		"retries no number": {"/till/post", "Teaseltack-Retries", "many", "", 400},
		"class too high":    {"/till/post", "Teaseltack-Class", "protected", "", 400},
		"unknown class":     {"/till/post", "Teaseltack-Class", "vip", "", 400},
		"context at outer":  {"/till/post", "Teaseltack-Context", "abc", "", 400},
		"long request id":   {"/till/post", "Teaseltack-Request-Id", long, "", 400},
		"negative attempt":  {"/till/post", "Teaseltack-Attempt", "-1", "", 400},
		"unknown method":    {"/till/other", "", "", "", 404},
		"unknown path":      {"/till", "", "", "", 404},
		"body too large":    {"/till/post", "", "", long, 413},
		"announce at outer": {"/teaseltack/v1/announce", "", "", "{}", 404},
	} {
		t.Run(name, func(t *testing.T) {
			server := &echoServer{}
			api := newServer(t, server)
			request, err := http.NewRequest(http.MethodPost, api.URL+test.path, strings.NewReader(test.body))
			assert.NilError(t, err)
			if test.header != "" {
				request.Header.Set(test.header, test.value)
			}
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, test.status)
			assert.Equal(t, response.Header.Get("Teaseltack-Verdict"), "not-run")
			assert.Equal(t, server.calls, 0)
		})
	}
}

// FuzzHeaders guards against responses without a verdict, whatever the headers hold.
func FuzzHeaders(f *testing.F) {
	f.Add("5", "protected", "1", "0")
	f.Add("-1", "", "999999999999", "x")
	f.Fuzz(func(t *testing.T, lifetime, class, retries, attempt string) {
		api := newServer(t, &echoServer{})
		request := httptest.NewRequest(http.MethodPost, "/till/post", strings.NewReader("b"))
		for name, value := range map[string]string{"Teaseltack-Lifetime-Ms": lifetime, "Teaseltack-Class": class, "Teaseltack-Retries": retries, "Teaseltack-Attempt": attempt} {
			request.Header[name] = []string{value}
		}
		recorder := httptest.NewRecorder()
		api.Config.Handler.ServeHTTP(recorder, request)
		if recorder.Header().Get("Teaseltack-Verdict") == "" {
			t.Fatalf("no verdict, status %d", recorder.Code)
		}
	})
}

// Guards against the memory that a backend server would take with an announcement without
// end.
func TestAnAnnouncementIsBounded(t *testing.T) {
	announced := 0
	api := httptest.NewServer(edge.New(edge.Config{
		Timers: clock.Clock{}, Rand: random.Seeded(1), Log: hclog.NewNullLogger(), MaxBodyBytes: 8 << 20,
		Announce: func(edge.Announcement) error { announced++; return nil },
	}))
	t.Cleanup(api.Close)
	post := func(service string) int {
		response, err := http.Post(api.URL+"/teaseltack/v1/announce", "application/json", strings.NewReader(`{"service": "`+service+`", "address": "127.0.0.1:1", "slots": 1}`))
		assert.NilError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	assert.Equal(t, post("till"), http.StatusNoContent)
	assert.Equal(t, post(strings.Repeat("x", 1<<20)), http.StatusBadRequest)
	assert.Equal(t, announced, 1)
}

// Guards against a refusal for lack of memory that does not say that nothing has run.
func TestARequestWithoutMemoryHasNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		held int64
		size int
		want int
	}{
		"beside others": {held: 100, size: 10, want: http.StatusServiceUnavailable},
		"alone":         {held: 0, size: 100, want: http.StatusRequestEntityTooLarge},
		"with enough":   {held: 0, size: 10, want: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			memory := usage.New(usage.Config{Timers: clock.Clock{}, Limit: 110})
			other := memory.Enter(func() {})
			other.Complete()
			assert.NilError(t, other.Take(test.held))
			server := &echoServer{}
			handler := newServer(t, server).Config.Handler
			request := httptest.NewRequest(http.MethodPost, "/till/post", strings.NewReader(strings.Repeat("x", test.size)))
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request.WithContext(usage.NewContext(request.Context(), memory.Enter(func() {}))))
			assert.Equal(t, recorder.Code, test.want, recorder.Body.String())
			if test.want == http.StatusOK {
				return
			}
			assert.Equal(t, recorder.Header().Get("Teaseltack-Verdict"), "not-run")
			assert.Equal(t, test.want == http.StatusServiceUnavailable, recorder.Header().Get("Teaseltack-Retry-After-Ms") != "")
			assert.Equal(t, server.calls, 0)
		})
	}
}
