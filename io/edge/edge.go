// Package edge implements the HTTP API: the outer handler serves callers, the inner
// one the local backend server.
package edge

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"teaseltack"
	"teaseltack/core/entry"
	"teaseltack/core/usage"
	"teaseltack/io/body"
	"teaseltack/io/header"
)

const (
	// bodyTimeout bounds the reading of a request's body; the call holds no slot
	// meanwhile.
	bodyTimeout = 20 * time.Second
	// maxLifetimeMs bounds the lifetime that a caller may request.
	maxLifetimeMs = 600_000
	// maxAnnouncementBytes bounds the announcement of a backend server.
	maxAnnouncementBytes = 64 << 10
	// encodedCopies is the number of copies of a body that are made to send it to another
	// host.
	encodedCopies = 1
	// maxAttempt bounds the attempt and retry numbers that a caller may send.
	maxAttempt = 1000
	// maxNameBytes bounds the length of ids and keys from callers.
	maxNameBytes = 200
	// maxTickets bounds the number of tickets issued per request.
	maxTickets = 32
	// apiPrefix is the path prefix of requests that are not forwarded.
	apiPrefix = "/teaseltack/v1"
)

// Config configures a handler.
type Config struct {
	Timers teaseltack.Timers
	Rand   teaseltack.RandSource
	Entry  *entry.Entry
	Log    hclog.Logger
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// Announce is called for each announcement of the local backend server, on the
	// goroutine of its request; an error is returned to the server as a bad request.
	// A handler with Announce is the inner one.
	Announce func(Announcement) error
	// Ready reports whether requests are accepted; nil accepts all.
	Ready func() bool
}

// Announcement is the JSON body with which a backend server registers itself.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Instance    string `json:"instance"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
}

// Handler serves the HTTP API. It is safe for concurrent use.
type Handler struct {
	cfg Config
}

// New returns the HTTP handler, the inner one if cfg.Announce is set.
func New(cfg Config) http.Handler {
	h := &Handler{cfg: cfg}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = h.handleError
	e.POST(apiPrefix+"/tickets", h.tickets)
	if cfg.Announce != nil {
		e.POST(apiPrefix+"/announce", h.announce)
	}
	e.Any("/:service/:method", h.call)
	return e
}

// handleError responds to requests that echo itself rejects, such as those with an
// unknown path.
func (h *Handler) handleError(err error, c echo.Context) {
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	}
	refusal := teaseltack.Refuse(teaseltack.ReasonBadRequest, "%s %s: allowed are /SERVICE/METHOD and %s/…", c.Request().Method, c.Request().URL.Path, apiPrefix)
	_ = h.writeRefusal(c, status, refusal)
}

func (h *Handler) call(c echo.Context) error {
	request, status, refusal := h.readRequest(c)
	if refusal != nil {
		h.cfg.Log.Debug("request refused", "request-id", c.Request().Header.Get(string(header.RequestID)), "reason", refusal.Reason, "detail", refusal.Detail)
		if mayHaveRunEarlier(c.Request().Header) {
			refusal = refusal.AsUncertain()
		}
		return h.writeRefusal(c, status, refusal)
	}
	answer := h.cfg.Entry.Serve(c.Request().Context(), request)
	headers := c.Response().Header()
	header.RequestID.Set(headers, string(answer.ID))
	if answer.FreshTicket != "" {
		header.Ticket.Set(headers, string(answer.FreshTicket))
	}
	if answer.Refusal != nil {
		h.cfg.Log.Debug("refused", "request-id", answer.ID, "target", request.Target, "verdict", answer.Refusal.Verdict, "reason", answer.Refusal.Reason, "detail", answer.Refusal.Detail)
		return h.writeRefusal(c, statusOf(answer.Refusal), answer.Refusal)
	}
	return h.writeAnswer(c, answer)
}

// mayHaveRunEarlier reports whether an earlier attempt of a request may have run. It
// needs the headers only, since the request may be refused before it is fully read.
func mayHaveRunEarlier(headers http.Header) bool {
	identified := header.Ticket.Get(headers) != "" || header.Key.Get(headers) != ""
	return identified && header.Attempt.Get(headers) != "0"
}

// writeAnswer sends a complete answer with its length, so that the caller detects a
// truncated one.
func (h *Handler) writeAnswer(c echo.Context, answer *teaseltack.Answer) error {
	headers := c.Response().Header()
	for _, f := range answer.Headers {
		headers.Add(f.Name, f.Value)
	}
	header.Verdict.Set(headers, teaseltack.Ran.String())
	headers.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	c.Response().WriteHeader(answer.Status)
	if c.Request().Method == http.MethodHead {
		return nil
	}
	if _, err := c.Response().Write(answer.Body); err != nil {
		h.cfg.Log.Debug("caller disconnected during the response", "request-id", answer.ID, "error", err)
	}
	return nil
}

type refusalBody struct {
	Verdict      string `json:"verdict"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
}

func (h *Handler) writeRefusal(c echo.Context, status int, refusal *teaseltack.Refusal) error {
	headers := c.Response().Header()
	header.Verdict.Set(headers, refusal.Verdict.String())
	header.Reason.Set(headers, string(refusal.Reason))
	if refusal.RetryAfter > 0 {
		header.RetryAfter.Set(headers, strconv.FormatInt(refusal.RetryAfter.Milliseconds(), 10))
	}
	return c.JSON(status, refusalBody{
		Verdict:      refusal.Verdict.String(),
		Reason:       string(refusal.Reason),
		Detail:       refusal.Detail,
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
	})
}

// statusOf maps a refusal to an HTTP status.
func statusOf(r *teaseltack.Refusal) int {
	switch r.Reason {
	case teaseltack.ReasonBadRequest, teaseltack.ReasonTicketInvalid:
		return http.StatusBadRequest
	case teaseltack.ReasonUnknownTarget:
		return http.StatusNotFound
	case teaseltack.ReasonTooLarge:
		if r.Verdict == teaseltack.NotRun {
			return http.StatusRequestEntityTooLarge
		}
		return http.StatusBadGateway
	case teaseltack.ReasonKeyMismatch, teaseltack.ReasonTicketExpired, teaseltack.ReasonTicketOther, teaseltack.ReasonAnswerDropped:
		return http.StatusConflict
	case teaseltack.ReasonLifetime:
		return http.StatusGatewayTimeout
	}
	if r.Verdict == teaseltack.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// readRequest validates the headers and reads the body.
func (h *Handler) readRequest(c echo.Context) (*teaseltack.Request, int, *teaseltack.Refusal) {
	r := c.Request()
	request := &teaseltack.Request{
		Target: teaseltack.Target{Service: teaseltack.Service(c.Param("service")), Method: teaseltack.Method(c.Param("method"))},
		Ticket: teaseltack.Ticket(header.Ticket.Get(r.Header)),
		Key:    header.Key.Get(r.Header),
	}
	if refusal := h.readHeaders(request, r.Header); refusal != nil {
		return nil, http.StatusBadRequest, refusal
	}
	if h.cfg.Announce != nil {
		request.Nested = true
		request.Parent = header.Context.Get(r.Header)
	} else if header.Context.Get(r.Header) != "" {
		return nil, http.StatusBadRequest, teaseltack.Refuse(teaseltack.ReasonBadRequest, "%s is set, it is allowed at the inner listener only", header.Context)
	}
	if h.cfg.Ready != nil && !h.cfg.Ready() {
		return nil, http.StatusServiceUnavailable, teaseltack.Refuse(teaseltack.ReasonNotReady, "this daemon is starting or stopping")
	}
	body, status, refusal := h.readBody(c)
	if refusal != nil {
		return nil, status, refusal
	}
	request.Payload = teaseltack.Payload{Verb: r.Method, Query: r.URL.RawQuery, Headers: header.EndToEnd(r.Header), Body: body}
	return request, 0, nil
}

func (h *Handler) readHeaders(request *teaseltack.Request, headers http.Header) *teaseltack.Refusal {
	id := header.RequestID.Get(headers)
	if len(id) > maxNameBytes || len(request.Key) > maxNameBytes {
		return teaseltack.Refuse(teaseltack.ReasonBadRequest, "%s or %s is longer than %d bytes", header.RequestID, header.Key, maxNameBytes)
	}
	if id == "" {
		id = strconv.FormatUint(h.cfg.Rand.Uint64(), 16) + strconv.FormatUint(h.cfg.Rand.Uint64(), 16)
	}
	request.ID = teaseltack.RequestID(id)
	if name := header.Class.Get(headers); name != "" && h.cfg.Announce == nil {
		class, err := teaseltack.ParseClass(name)
		if err != nil {
			return teaseltack.Refuse(teaseltack.ReasonBadRequest, "%s: %v", header.Class, err)
		}
		request.Class, request.ClassSet = class, true
	}
	lifetime, err := readNumber(headers, header.LifetimeMs, 0, 1, maxLifetimeMs)
	if err != nil {
		return teaseltack.Refuse(teaseltack.ReasonBadRequest, "%v", err)
	}
	request.Lifetime = time.Duration(lifetime) * time.Millisecond
	attempt, err := readNumber(headers, header.Attempt, teaseltack.UnknownAttempt, 0, maxAttempt)
	if err != nil {
		return teaseltack.Refuse(teaseltack.ReasonBadRequest, "%v", err)
	}
	request.CallerAttempt = int(attempt)
	retries, err := readNumber(headers, header.Retries, -1, 0, maxAttempt)
	if err != nil {
		return teaseltack.Refuse(teaseltack.ReasonBadRequest, "%v", err)
	}
	request.Retries = teaseltack.Retries(retries)
	return nil
}

// readNumber parses a header with a whole number in a range; without the header it
// returns the fallback.
func readNumber(headers http.Header, name header.Name, fallback, lowest, highest int64) (int64, error) {
	text := name.Get(headers)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < lowest || n > highest {
		return 0, fmt.Errorf("%s is %q, allowed is a whole number from %d to %d", name, text, lowest, highest)
	}
	return n, nil
}

func (h *Handler) readBody(c echo.Context) ([]byte, int, *teaseltack.Refusal) {
	r := c.Request()
	if r.ContentLength > h.cfg.MaxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge, teaseltack.Refuse(teaseltack.ReasonTooLarge, "the body has %d bytes, allowed are %d", r.ContentLength, h.cfg.MaxBodyBytes)
	}
	controller := http.NewResponseController(c.Response().Writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	memory := usage.FromContext(r.Context())
	received, err := body.Receiver{Limit: h.cfg.MaxBodyBytes, Holder: memory, Overhead: encodedCopies}.Receive(r.Body, r.ContentLength)
	if err != nil {
		// The rest of the body is not read.
		c.Response().Header().Set("Connection", "close")
		status, refusal := refusalOf(err)
		return nil, status, refusal
	}
	memory.Complete()
	_ = controller.SetReadDeadline(time.Time{})
	return received, 0, nil
}

// refusalOf returns the refusal of a request whose body was not received.
func refusalOf(err error) (status int, refusal *teaseltack.Refusal) {
	switch {
	case errors.Is(err, usage.ErrFull):
		refusal = teaseltack.Refuse(teaseltack.ReasonOverload, "too many requests are being received: %v", err)
		refusal.RetryAfter = usage.RetryAfter
		return http.StatusServiceUnavailable, refusal
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, teaseltack.Refuse(teaseltack.ReasonBadRequest, "the body was not received in time, or stalled and made room for others")
	case errors.Is(err, body.ErrTooLarge), errors.Is(err, usage.ErrTooLarge):
		return http.StatusRequestEntityTooLarge, teaseltack.Refuse(teaseltack.ReasonTooLarge, "%v", err)
	}
	return http.StatusBadRequest, teaseltack.Refuse(teaseltack.ReasonBadRequest, "reading the body failed: %v", err)
}

type ticketsBody struct {
	Tickets []string `json:"tickets"`
}

// tickets issues tickets to a caller for later non-idempotent requests.
func (h *Handler) tickets(c echo.Context) error {
	target := teaseltack.Target{Service: teaseltack.Service(c.QueryParam("service")), Method: teaseltack.Method(c.QueryParam("method"))}
	count := 1
	if text := c.QueryParam("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxTickets {
			return h.writeRefusal(c, http.StatusBadRequest, teaseltack.Refuse(teaseltack.ReasonBadRequest, "count is %q, allowed is 1 to %d", text, maxTickets))
		}
		count = n
	}
	// LevelCount is above all levels, so no home counts as shedding the request.
	tickets, refusal := h.cfg.Entry.Tickets(c.Request().Context(), target, teaseltack.LevelCount, count)
	if refusal != nil {
		return h.writeRefusal(c, statusOf(refusal), refusal)
	}
	body := ticketsBody{Tickets: make([]string, len(tickets))}
	for i, t := range tickets {
		body.Tickets[i] = string(t)
	}
	return c.JSON(http.StatusOK, body)
}

func (h *Handler) announce(c echo.Context) error {
	var announcement Announcement
	r := c.Request()
	text, err := body.Receiver{Limit: maxAnnouncementBytes, Holder: usage.FromContext(r.Context())}.Receive(r.Body, r.ContentLength)
	if err != nil {
		c.Response().Header().Set("Connection", "close")
		return h.writeRefusal(c, http.StatusBadRequest, teaseltack.Refuse(teaseltack.ReasonBadRequest, "invalid announcement: %v", err))
	}
	r.Body = io.NopCloser(bytes.NewReader(text))
	if err := c.Bind(&announcement); err != nil {
		return h.writeRefusal(c, http.StatusBadRequest, teaseltack.Refuse(teaseltack.ReasonBadRequest, "invalid announcement: %v", err))
	}
	if err := h.cfg.Announce(announcement); err != nil {
		return h.writeRefusal(c, http.StatusBadRequest, teaseltack.Refuse(teaseltack.ReasonBadRequest, "invalid announcement: %v", err))
	}
	return c.NoContent(http.StatusNoContent)
}
