package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/io/clock"
	"teaseltack/io/config"
	"teaseltack/io/daemon"
	"teaseltack/io/dummy"
)

const answerTimeout = 30 * time.Second

// startHost runs a daemon without a platform and, if named, a backend server.
func startHost(tb testing.TB, name, service string, peers ...string) (*daemon.Daemon, *dummy.Backend) {
	tb.Helper()
	const free = "127.0.0.1:0"
	settings, err := config.Parse(name, fmt.Appendf(nil, `{"host": %q, "data-centre": "a", "outer-address": %q, "inner-address": %q, "peer-address": %q, "operator-address": %q, "shutdown-s": 5}`, name, free, free, free, free))
	assert.NilError(tb, err)
	settings.Peers = peers
	d, err := daemon.New(settings, hclog.NewNullLogger())
	assert.NilError(tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- d.Run(ctx, context.Background()) }()
	tb.Cleanup(func() {
		cancel()
		assert.Check(tb, <-done)
	})
	if service == "" {
		return d, nil
	}
	b, err := dummy.New(dummy.Config{
		Timers: clock.Clock{}, Log: hclog.NewNullLogger(), Service: teaseltack.Service(service), Address: free,
		InnerAddress: d.InnerAddress(), Slots: 64, Connections: 512, AnnouncePeriod: time.Second,
	})
	assert.NilError(tb, err)
	backendCtx, cancelBackend := context.WithCancel(context.Background())
	go func() { _ = b.Run(backendCtx) }()
	tb.Cleanup(cancelBackend)
	return d, b
}

func call(client *http.Client, url string) (int, string) {
	response, err := client.Post(url, "text/plain", strings.NewReader("body"))
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

func awaitAnswer(tb testing.TB, url string) {
	tb.Helper()
	end := time.Now().Add(answerTimeout)
	for {
		status, text := call(http.DefaultClient, url)
		if status == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			tb.Fatalf("%s answers %d %s", url, status, text)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// A daemon with neither a platform nor peers has to become ready and serve its own
// backend server, instead of waiting for a configuration or a contact.
func TestServesItsOwnServerAlone(t *testing.T) {
	d, _ := startHost(t, "alone", "till")
	awaitAnswer(t, "http://"+d.OuterAddress()+"/till/check")
}

// BenchmarkAddedLatency measures the latency that the path through entry and home
// adds to a direct call of the same server.
func BenchmarkAddedLatency(b *testing.B) {
	home, backend := startHost(b, "home", "till")
	entry, _ := startHost(b, "entry", "", home.PeerAddress())
	through := "http://" + entry.OuterAddress() + "/till/check"
	direct := "http://" + backend.Address() + "/check"
	awaitAnswer(b, through)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	var directTimes, throughTimes []time.Duration
	for b.Loop() {
		directTimes = append(directTimes, timeCall(client, direct))
		throughTimes = append(throughTimes, timeCall(client, through))
	}
	for _, quantile := range []float64{50, 99} {
		added := quantileOf(throughTimes, quantile) - quantileOf(directTimes, quantile)
		b.ReportMetric(float64(added.Microseconds()), fmt.Sprintf("added-µs-p%.0f", quantile))
	}
	b.ReportMetric(float64(quantileOf(directTimes, 99).Microseconds()), "direct-µs-p99")
}

func timeCall(client *http.Client, url string) time.Duration {
	started := time.Now()
	call(client, url)
	return time.Since(started)
}

func quantileOf(times []time.Duration, quantile float64) time.Duration {
	slices.Sort(times)
	return times[min(int(float64(len(times))*quantile/100), len(times)-1)]
}

// Guards against a metric that is missing from /metrics after an answered and a
// refused call.
func TestMetricsTellEveryDecision(t *testing.T) {
	d, _ := startHost(t, "metrics", "till")
	awaitAnswer(t, "http://"+d.OuterAddress()+"/till/check")
	call(http.DefaultClient, "http://"+d.OuterAddress()+"/nobody/check")
	response, err := http.Get("http://" + d.OperatorAddress() + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	for _, name := range []string{
		"answered_total", "refused_total", "work_seconds_bucket", "concurrency_limit", "in_flight", "admission_level", "generation_in_force",
		"hosts_behind", "hosts_known", "tickets_remembered", "platform_reachable", "data_centres_unreachable",
	} {
		assert.Check(t, strings.Contains(string(text), "\nteaseltack_"+name), "%s is missing", name)
	}
}

// Guards against a server that announces itself to one daemon but never reaches
// the records of the others, which would then refuse the calls to it.
func TestNewServerIsKnownToOthers(t *testing.T) {
	home, _ := startHost(t, "home", "")
	entry, _ := startHost(t, "entry", "till", home.PeerAddress())
	awaitAnswer(t, "http://"+home.OuterAddress()+"/till/check")
	awaitAnswer(t, "http://"+entry.OuterAddress()+"/till/check")
}
