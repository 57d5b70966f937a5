// Package load generates load: it sends requests at a fixed rate, repeats failed
// ones at once up to a configured number of times, and reports the outcomes.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"teaseltack"
	"teaseltack/io/header"
	"teaseltack/io/intact"
	"teaseltack/io/random"
)

const (
	minLatencyUs  = 1
	maxLatencyUs  = 600_000_000
	latencyDigits = 3
)

// Config configures a caller.
type Config struct {
	// Entries are the outer addresses of the daemons, used in turn.
	Entries []string
	Targets []teaseltack.Target
	// Rate is the number of new requests per second, without repeats.
	Rate float64
	// Duration is the time in which new requests are sent.
	Duration time.Duration
	// Lifetime is the time limit of a request, including its repeats.
	Lifetime time.Duration
	// Repeats is how often the caller repeats a request that was not answered 200.
	Repeats int
	// Keys sends an idempotency key with each request.
	Keys bool
	// BodyBytes is the size of each request's body.
	BodyBytes int
}

// Report counts the requests by outcome; the latencies are those of complete
// answers.
type Report struct {
	Sent       int            `json:"sent"`
	Complete   int            `json:"whole"`
	Attempts   int            `json:"attempts"`
	Goodput    float64        `json:"goodput-per-s"`
	P50Ms      float64        `json:"p50-ms"`
	P99Ms      float64        `json:"p99-ms"`
	Refused    map[string]int `json:"refused-by-reason"`
	NotRun     int            `json:"not-run"`
	MayHaveRun int            `json:"may-have-run"`
}

// Caller sends requests.
type Caller struct {
	cfg     Config
	client  *http.Client
	source  *random.Source
	mu      sync.Mutex
	report  Report
	latency *hdrhistogram.Histogram
}

// New returns a caller.
func New(cfg Config) *Caller {
	const maxIdlePerHost = 1000
	return &Caller{
		cfg:     cfg,
		client:  &http.Client{Transport: intact.New(intact.Config{Base: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true}})},
		source:  random.New(),
		report:  Report{Refused: map[string]int{}},
		latency: hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits),
	}
}

// Run sends requests for the configured duration and waits for the last answers.
func (c *Caller) Run(ctx context.Context) Report {
	var group sync.WaitGroup
	interval := time.Duration(float64(time.Second) / c.cfg.Rate)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(c.cfg.Duration)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		group.Go(func() { c.Send(ctx, n) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	group.Wait()
	return c.Report()
}

// Report returns the outcomes so far.
func (c *Caller) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	const usPerMs = 1000
	report := c.report
	report.Goodput = float64(report.Complete) / c.cfg.Duration.Seconds()
	report.P50Ms = float64(c.latency.ValueAtQuantile(50)) / usPerMs
	report.P99Ms = float64(c.latency.ValueAtQuantile(99)) / usPerMs
	return report
}

// Reply is the last answer to one request; without an answer Status is 0.
type Reply struct {
	Status  int
	Verdict string
	Reason  string
	Body    []byte
}

// Send sends request number n and repeats it until it is answered 200, the
// lifetime ends or the repeats are used up.
func (c *Caller) Send(ctx context.Context, n int) Reply {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Lifetime)
	defer cancel()
	id := strconv.FormatUint(c.source.Uint64(), 36)
	target := c.cfg.Targets[n%len(c.cfg.Targets)]
	started := time.Now()
	var reply Reply
	attempts := 0
	for attempt := range c.cfg.Repeats + 1 {
		attempts++
		reply = c.attempt(ctx, c.cfg.Entries[(n+attempt)%len(c.cfg.Entries)], target, id, attempt)
		if reply.Status == http.StatusOK || ctx.Err() != nil {
			break
		}
	}
	c.record(reply, attempts, time.Since(started))
	return reply
}

func (c *Caller) attempt(ctx context.Context, entry string, target teaseltack.Target, id string, attempt int) Reply {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+target.String(), bytes.NewReader(make([]byte, c.cfg.BodyBytes)))
	if err != nil {
		return Reply{Reason: "request"}
	}
	request.GetBody = nil
	header.RequestID.Set(request.Header, id)
	header.Attempt.Set(request.Header, strconv.Itoa(attempt))
	header.LifetimeMs.Set(request.Header, strconv.FormatInt(max(c.cfg.Lifetime.Milliseconds(), 1), 10))
	if c.cfg.Keys {
		header.Key.Set(request.Header, id)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Reply{Reason: fmt.Sprintf("no-answer (%T)", err)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{Reason: "answer-cut"}
	}
	return Reply{
		Status:  response.StatusCode,
		Verdict: header.Verdict.Get(response.Header),
		Reason:  header.Reason.Get(response.Header),
		Body:    body,
	}
}

func (c *Caller) record(reply Reply, attempts int, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Sent++
	c.report.Attempts += attempts
	if reply.Status == http.StatusOK {
		c.report.Complete++
		_ = c.latency.RecordValue(took.Microseconds())
		return
	}
	c.report.Refused[reply.Reason]++
	switch reply.Verdict {
	case teaseltack.NotRun.String():
		c.report.NotRun++
	default:
		c.report.MayHaveRun++
	}
}
