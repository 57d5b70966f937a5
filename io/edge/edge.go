// Package edge is the HTTP API for callers and, in its inner form, for the
// local backend server.
package edge

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"teaseltack"
	"teaseltack/core/entry"
	"teaseltack/io/header"
)

const (
	// bodyTime bounds the reading of a request's body; the call holds no slot
	// meanwhile.
	bodyTime = 20 * time.Second
	// maxLifetimeMs bounds the lifetime that a caller may ask for.
	maxLifetimeMs = 600_000
	// maxAttempt bounds the repeats that a caller may count.
	maxAttempt = 1000
	// maxNameBytes bounds ids and keys from callers.
	maxNameBytes = 200
	// maxTickets bounds the tickets of one call.
	maxTickets = 32
	// ownPrefix starts the handler's own paths.
	ownPrefix = "/teaseltack/v1"
)

// Config configures a handler.
type Config struct {
	Timers teaseltack.Timers
	Rand   teaseltack.RandSource
	Entry  *entry.Entry
	Log    hclog.Logger
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// Announce takes the announcements of the local server; it makes this
	// the inner handler.
	Announce func(Announcement) error
	// Ready says whether the handler takes requests.
	Ready func() bool
}

// Announcement is the JSON body by which a backend server announces itself.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Instance    string `json:"instance"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
}

// Handler answers callers.
type Handler struct {
	cfg Config
}

// New returns the HTTP handler.
func New(cfg Config) http.Handler {
	d := &Handler{cfg: cfg}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = d.fail
	e.POST(ownPrefix+"/tickets", d.tickets)
	if cfg.Announce != nil {
		e.POST(ownPrefix+"/announce", d.announce)
	}
	e.Any("/:service/:method", d.call)
	return e
}

// fail answers what echo itself refuses, such as an unknown path.
func (d *Handler) fail(err error, c echo.Context) {
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	}
	refusal := teaseltack.Refuse(teaseltack.ReasonBadRequest, "%s %s: allowed are /SERVICE/METHOD and %s/…", c.Request().Method, c.Request().URL.Path, ownPrefix)
	_ = d.refuse(c, status, refusal)
}

func (d *Handler) call(c echo.Context) error {
	request, status, refusal := d.read(c)
	if refusal != nil {
		d.cfg.Log.Debug("request refused", "request-id", c.Request().Header.Get(string(header.RequestID)), "reason", refusal.Reason, "detail", refusal.Detail)
		if mayHaveEarlier(c.Request().Header) {
			refusal = refusal.AsUncertain()
		}
		return d.refuse(c, status, refusal)
	}
	answer := d.cfg.Entry.Serve(c.Request().Context(), request)
	h := c.Response().Header()
	header.RequestID.Set(h, string(answer.ID))
	if answer.FreshTicket != "" {
		header.Ticket.Set(h, string(answer.FreshTicket))
	}
	if answer.Refusal != nil {
		d.cfg.Log.Debug("refused", "request-id", answer.ID, "target", request.Target, "verdict", answer.Refusal.Verdict, "reason", answer.Refusal.Reason, "detail", answer.Refusal.Detail)
		return d.refuse(c, statusOf(answer.Refusal), answer.Refusal)
	}
	return d.deliver(c, answer)
}

// mayHaveEarlier reads, of a request that was refused before it was read in full,
// whether an earlier attempt may have run.
func mayHaveEarlier(h http.Header) bool {
	identified := header.Ticket.Get(h) != "" || header.Key.Get(h) != ""
	return identified && header.Attempt.Get(h) != "0"
}

// deliver sends a whole answer with its length, so that a cut one is seen.
func (d *Handler) deliver(c echo.Context, answer *teaseltack.Answer) error {
	h := c.Response().Header()
	for _, f := range answer.Headers {
		h.Add(f.Name, f.Value)
	}
	header.Verdict.Set(h, teaseltack.Ran.String())
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	c.Response().WriteHeader(answer.Status)
	if c.Request().Method == http.MethodHead {
		return nil
	}
	if _, err := c.Response().Write(answer.Body); err != nil {
		d.cfg.Log.Debug("caller left during the answer", "request-id", answer.ID, "error", err)
	}
	return nil
}

type refusalBody struct {
	Verdict      string `json:"verdict"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
}

func (d *Handler) refuse(c echo.Context, status int, refusal *teaseltack.Refusal) error {
	h := c.Response().Header()
	header.Verdict.Set(h, refusal.Verdict.String())
	header.Reason.Set(h, string(refusal.Reason))
	if refusal.RetryAfter > 0 {
		header.RetryAfter.Set(h, strconv.FormatInt(refusal.RetryAfter.Milliseconds(), 10))
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

// read checks everything that the caller claims and reads the body.
func (d *Handler) read(c echo.Context) (*teaseltack.Request, int, *teaseltack.Refusal) {
	r := c.Request()
	a := &teaseltack.Request{
		Target: teaseltack.Target{Service: teaseltack.Service(c.Param("service")), Method: teaseltack.Method(c.Param("method"))},
		Ticket: teaseltack.Ticket(header.Ticket.Get(r.Header)),
		Key:    header.Key.Get(r.Header),
	}
	if refusal := d.readClaims(a, r.Header); refusal != nil {
		return nil, http.StatusBadRequest, refusal
	}
	if d.cfg.Announce != nil {
		a.Nested = true
		a.Parent = header.Context.Get(r.Header)
	} else if header.Context.Get(r.Header) != "" {
		return nil, http.StatusBadRequest, teaseltack.Refuse(teaseltack.ReasonBadRequest, "%s is set, it is allowed at the inner listener only", header.Context)
	}
	if d.cfg.Ready != nil && !d.cfg.Ready() {
		return nil, http.StatusServiceUnavailable, teaseltack.Refuse(teaseltack.ReasonNotReady, "this daemon is starting or stopping")
	}
	body, status, refusal := d.readBody(c)
	if refusal != nil {
		return nil, status, refusal
	}
	a.Payload = teaseltack.Payload{Verb: r.Method, Query: r.URL.RawQuery, Headers: header.EndToEnd(r.Header), Body: body}
	return a, 0, nil
}

func (d *Handler) readClaims(a *teaseltack.Request, h http.Header) *teaseltack.Refusal {
	id := header.RequestID.Get(h)
	if len(id) > maxNameBytes || len(a.Key) > maxNameBytes {
		return teaseltack.Refuse(teaseltack.ReasonBadRequest, "%s or %s is longer than %d bytes", header.RequestID, header.Key, maxNameBytes)
	}
	if id == "" {
		id = strconv.FormatUint(d.cfg.Rand.Uint64(), 16) + strconv.FormatUint(d.cfg.Rand.Uint64(), 16)
	}
	a.ID = teaseltack.RequestID(id)
	if name := header.Class.Get(h); name != "" && d.cfg.Announce == nil {
		class, err := teaseltack.ParseClass(name)
		if err != nil {
			return teaseltack.Refuse(teaseltack.ReasonBadRequest, "%s: %v", header.Class, err)
		}
		a.Class, a.ClassSet = class, true
	}
	lifetime, err := readNumber(h, header.LifetimeMs, 0, 1, maxLifetimeMs)
	if err != nil {
		return teaseltack.Refuse(teaseltack.ReasonBadRequest, "%v", err)
	}
	a.Lifetime = time.Duration(lifetime) * time.Millisecond
	attempt, err := readNumber(h, header.Attempt, teaseltack.UnknownAttempt, 0, maxAttempt)
	if err != nil {
		return teaseltack.Refuse(teaseltack.ReasonBadRequest, "%v", err)
	}
	a.Attempt = int(attempt)
	retries, err := readNumber(h, header.Retries, -1, 0, maxAttempt)
	if err != nil {
		return teaseltack.Refuse(teaseltack.ReasonBadRequest, "%v", err)
	}
	a.Retries = teaseltack.Tokens(retries)
	return nil
}

// readNumber reads a header with a whole number in a range, or the default.
func readNumber(h http.Header, name header.Name, otherwise, least, most int64) (int64, error) {
	text := name.Get(h)
	if text == "" {
		return otherwise, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < least || n > most {
		return 0, fmt.Errorf("%s is %q, allowed is a whole number from %d to %d", name, text, least, most)
	}
	return n, nil
}

func (d *Handler) readBody(c echo.Context) ([]byte, int, *teaseltack.Refusal) {
	r := c.Request()
	if r.ContentLength > d.cfg.MaxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge, teaseltack.Refuse(teaseltack.ReasonTooLarge, "the body has %d bytes, allowed are %d", r.ContentLength, d.cfg.MaxBodyBytes)
	}
	controller := http.NewResponseController(c.Response().Writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(c.Response().Writer, r.Body, d.cfg.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge, teaseltack.Refuse(teaseltack.ReasonTooLarge, "the body is larger than %d bytes", d.cfg.MaxBodyBytes)
	}
	if err != nil {
		return nil, http.StatusBadRequest, teaseltack.Refuse(teaseltack.ReasonBadRequest, "the body broke off: %v", err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, 0, nil
}

type ticketsBody struct {
	Tickets []string `json:"tickets"`
}

// tickets gives a caller tickets for later non-idempotent requests.
func (d *Handler) tickets(c echo.Context) error {
	target := teaseltack.Target{Service: teaseltack.Service(c.QueryParam("service")), Method: teaseltack.Method(c.QueryParam("method"))}
	count := 1
	if text := c.QueryParam("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxTickets {
			return d.refuse(c, http.StatusBadRequest, teaseltack.Refuse(teaseltack.ReasonBadRequest, "count is %q, allowed is 1 to %d", text, maxTickets))
		}
		count = n
	}
	tickets, refusal := d.cfg.Entry.Tickets(c.Request().Context(), target, teaseltack.LevelCount, count)
	if refusal != nil {
		return d.refuse(c, statusOf(refusal), refusal)
	}
	body := ticketsBody{Tickets: make([]string, len(tickets))}
	for i, t := range tickets {
		body.Tickets[i] = string(t)
	}
	return c.JSON(http.StatusOK, body)
}

func (d *Handler) announce(c echo.Context) error {
	var a Announcement
	if err := c.Bind(&a); err != nil {
		return d.refuse(c, http.StatusBadRequest, teaseltack.Refuse(teaseltack.ReasonBadRequest, "announcement: %v", err))
	}
	if err := d.cfg.Announce(a); err != nil {
		return d.refuse(c, http.StatusBadRequest, teaseltack.Refuse(teaseltack.ReasonBadRequest, "announcement: %v", err))
	}
	return c.NoContent(http.StatusNoContent)
}
