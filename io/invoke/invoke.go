// Package invoke dispatches calls to the local backend server in the product's own
// HTTP format, which docs/PROTOCOL.md describes, through package pool.
package invoke

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/hashicorp/go-hclog"

	"teaseltack"
	"teaseltack/core/usage"
	"teaseltack/io/header"
	"teaseltack/io/pool"
)

// Config configures an Invoker.
type Config struct {
	Timers teaseltack.Timers
	// Log gets a line for each answer that is not taken.
	Log hclog.Logger
	// MaxAnswerBytes bounds the body of one answer.
	MaxAnswerBytes int64
	// MaxReadingBytes bounds the memory of all answers that are being read.
	MaxReadingBytes int64
}

// Invoker sends calls to the local backend server.
type Invoker struct {
	cfg  Config
	pool *pool.Pool
}

var _ teaseltack.ServerClient = (*Invoker)(nil)

// New returns an invoker without an address.
func New(cfg Config) *Invoker {
	return &Invoker{cfg: cfg, pool: pool.New(pool.Config{
		Timers: cfg.Timers, MaxAnswerBytes: cfg.MaxAnswerBytes, Reading: usage.New(usage.Answers(cfg.Timers, cfg.MaxReadingBytes)),
	})}
}

// SetAddress sets the announced address.
func (i *Invoker) SetAddress(address string) {
	i.pool.SetAddress(address)
}

// Dispatch sends the call to the backend server and reads the complete answer. Its
// error is a *Refusal.
func (i *Invoker) Dispatch(ctx context.Context, call *teaseltack.Call, contextToken string) (*teaseltack.Answer, error) {
	request, err := i.request(call, contextToken)
	if err != nil {
		return nil, teaseltack.Refuse(teaseltack.ReasonBadRequest, "%v", err)
	}
	response, err := i.pool.Do(ctx, request)
	if err == nil && !response.Delimited {
		err = teaseltack.Uncertain(teaseltack.ReasonAnswerCut, "the answer has neither a length nor chunks, so nothing shows that it is complete")
	}
	if err != nil {
		return nil, i.failed(call, err)
	}
	return &teaseltack.Answer{Status: response.Status, Headers: header.EndToEnd(response.Header), Body: response.Body}, nil
}

// failed handles the error of a call. If the call may have run, it closes the idle
// connections, which may be as unresponsive as the failed one.
func (i *Invoker) failed(call *teaseltack.Call, err error) error {
	refusal := teaseltack.AsRefusal(err)
	if refusal.Verdict == teaseltack.NotRun {
		return err
	}
	i.pool.Reset()
	if refusal.Reason != teaseltack.ReasonLifetime {
		i.cfg.Log.Warn("answer of the backend server not taken", "id", call.ID, "target", call.Target, "verdict", refusal.Verdict, "reason", refusal.Reason, "detail", refusal.Detail)
	}
	return err
}

func (i *Invoker) request(call *teaseltack.Call, contextToken string) (*pool.Request, error) {
	p := &call.Payload
	target := url.URL{Scheme: "http", Host: "server", Path: "/" + string(call.Target.Method), RawQuery: p.Query}
	checked, err := http.NewRequest(p.Verb, target.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("building the request: %w", err)
	}
	uri := checked.URL.RequestURI()
	if strings.Contains(uri, " ") {
		return nil, fmt.Errorf("building the request: the query is %q, allowed is one without spaces", p.Query)
	}
	headers := http.Header{}
	for _, f := range p.Headers {
		headers.Add(f.Name, f.Value)
	}
	remaining := call.Deadline.Sub(i.cfg.Timers.Now())
	header.CallID.Set(headers, string(call.Nonce))
	header.RequestID.Set(headers, string(call.ID))
	header.Context.Set(headers, contextToken)
	header.Class.Set(headers, call.Priority.Class.String())
	header.LifetimeMs.Set(headers, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if len(p.Body) > 0 || p.Verb != http.MethodGet && p.Verb != http.MethodHead {
		headers.Set("Content-Length", strconv.Itoa(len(p.Body)))
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", checked.Method, uri, target.Host)
	if err := headers.Write(&head); err != nil {
		return nil, fmt.Errorf("encoding the headers: %w", err)
	}
	head.WriteString("\r\n")
	return &pool.Request{
		Method: checked.Method, Head: head.Bytes(), Body: p.Body, NonIdempotent: call.NonIdempotent,
		OversizedVerdict: teaseltack.Ran, Check: answerMatcher(string(call.Nonce)),
	}, nil
}

// answerMatcher returns a function that matches an answer to the call by the call id
// that the backend server returns. The request id would not do: all nested calls of a
// request have the same one.
func answerMatcher(id string) func(int, http.Header) pool.Match {
	return func(_ int, h http.Header) pool.Match {
		ids := h.Values(string(header.CallID))
		switch {
		case len(ids) == 0:
			return pool.Unnamed
		case len(ids) > 1:
			return pool.Broken
		case ids[0] != id:
			return pool.Foreign
		}
		return pool.Own
	}
}
