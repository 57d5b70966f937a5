// Package policy applies operators' edits to the configuration document. Each
// edit increments the generation and adds entries to the audit trail.
package policy

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"

	"teaseltack"
)

const (
	// maxLifetime bounds a request's lifetime.
	maxLifetime = 10 * time.Minute
	// maxRetries bounds the retries of a whole call tree.
	maxRetries = 10
	// maxPolicies keeps the document below the platform's limit for the size of
	// a value.
	maxPolicies = 4000
	// maxLabelBytes bounds the change id and the operator's name, in bytes.
	maxLabelBytes = 128
)

var namePattern = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)

// reservedService is the first path segment of the daemon's own endpoints; the
// paths of a service with this name would clash with them.
const reservedService = "teaseltack"

// Edit is one edit of the document.
type Edit struct {
	ChangeID string
	Who      string
	Set      []*operatorv1.Policy
	Remove   []*operatorv1.Policy
	// Host, if not empty, is marked as leaving or unmarked, as Leaving says.
	Host    string
	Leaving bool
}

// Check returns all faults of the edit, each with the field, its value and the
// allowed values.
func (e Edit) Check() []error {
	var faults []error
	add := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	if e.ChangeID == "" || len(e.ChangeID) > maxLabelBytes {
		add("change-id has %d bytes, allowed are 1 to %d", len(e.ChangeID), maxLabelBytes)
	}
	if e.Who == "" || len(e.Who) > maxLabelBytes {
		add("who has %d bytes, allowed are 1 to %d", len(e.Who), maxLabelBytes)
	}
	if len(e.Set)+len(e.Remove) == 0 && e.Host == "" {
		add("the change is empty: name a policy to set or remove, or a host")
	}
	for i, p := range e.Set {
		faults = append(faults, checkPolicy(fmt.Sprintf("set[%d]", i), p)...)
	}
	for i, p := range e.Remove {
		faults = append(faults, checkTarget(fmt.Sprintf("remove[%d]", i), p)...)
	}
	if e.Host != "" && !namePattern.MatchString(e.Host) {
		add("host is %q, allowed are 1 to 63 of a-z, 0-9 and hyphen", e.Host)
	}
	return faults
}

func checkTarget(path string, p *operatorv1.Policy) []error {
	var faults []error
	if !namePattern.MatchString(p.GetService()) || p.GetService() == reservedService {
		faults = append(faults, fmt.Errorf("%s.service is %q, allowed are 1 to 63 of a-z, 0-9 and hyphen, but not %q", path, p.GetService(), reservedService))
	}
	if !namePattern.MatchString(p.GetMethod()) {
		faults = append(faults, fmt.Errorf("%s.method is %q, allowed are 1 to 63 of a-z, 0-9 and hyphen", path, p.GetMethod()))
	}
	return faults
}

func checkPolicy(path string, p *operatorv1.Policy) []error {
	faults := checkTarget(path, p)
	if _, err := teaseltack.ParseClass(p.GetClass()); err != nil {
		faults = append(faults, fmt.Errorf("%s.%w", path, err))
	}
	if p.GetLifetimeMs() < 1 || p.GetLifetimeMs() > maxLifetime.Milliseconds() {
		faults = append(faults, fmt.Errorf("%s.lifetime-ms is %d, allowed is 1 to %d", path, p.GetLifetimeMs(), maxLifetime.Milliseconds()))
	}
	if p.GetRetries() < 0 || p.GetRetries() > maxRetries {
		faults = append(faults, fmt.Errorf("%s.retries is %d, allowed is 0 to %d", path, p.GetRetries(), maxRetries))
	}
	return faults
}

// Apply returns the document after the edit. The edit must have passed Check.
func Apply(document *operatorv1.Document, e Edit, at time.Time) (*operatorv1.Document, error) {
	next := proto.CloneOf(document)
	next.Generation++
	for _, p := range e.Set {
		setPolicy(next, e, at, p)
	}
	for _, p := range e.Remove {
		if err := removePolicy(next, e, at, p); err != nil {
			return nil, err
		}
	}
	if e.Host != "" {
		markServer(next, e, at)
	}
	if len(next.Policies) > maxPolicies {
		return nil, fmt.Errorf("the document would have %d policies, allowed are %d", len(next.Policies), maxPolicies)
	}
	return next, nil
}

func compareTargets(a, b *operatorv1.Policy) int {
	return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetMethod(), b.GetMethod()))
}

func setPolicy(d *operatorv1.Document, e Edit, at time.Time, p *operatorv1.Policy) {
	i, found := slices.BinarySearchFunc(d.Policies, p, compareTargets)
	before := ""
	if found {
		before = Describe(d.Policies[i])
		d.Policies[i] = proto.CloneOf(p)
	} else {
		d.Policies = slices.Insert(d.Policies, i, proto.CloneOf(p))
	}
	appendChange(d, e, at, "policy "+p.Service+"/"+p.Method, before, Describe(p))
}

func removePolicy(d *operatorv1.Document, e Edit, at time.Time, p *operatorv1.Policy) error {
	i, found := slices.BinarySearchFunc(d.Policies, p, compareTargets)
	if !found {
		return fmt.Errorf("remove is %s/%s, allowed are existing policies", p.Service, p.Method)
	}
	before := Describe(d.Policies[i])
	d.Policies = slices.Delete(d.Policies, i, i+1)
	appendChange(d, e, at, "policy "+p.Service+"/"+p.Method, before, "")
	return nil
}

func markServer(d *operatorv1.Document, e Edit, at time.Time) {
	i := slices.IndexFunc(d.Leaving, func(m *operatorv1.LeavingMark) bool { return m.Host == e.Host })
	before, after := "in service", "in service"
	if i >= 0 {
		before = "leaving"
		d.Leaving = slices.Delete(d.Leaving, i, i+1)
	}
	if e.Leaving {
		after = "leaving"
		d.Leaving = append(d.Leaving, &operatorv1.LeavingMark{Host: e.Host, Who: e.Who, AtUnixMs: at.UnixMilli()})
	}
	appendChange(d, e, at, "server "+e.Host, before, after)
}

func appendChange(d *operatorv1.Document, e Edit, at time.Time, what, before, after string) {
	d.Recent = append(d.Recent, &operatorv1.Change{
		ChangeId:   e.ChangeID,
		Generation: d.Generation,
		Who:        e.Who,
		AtUnixMs:   at.UnixMilli(),
		What:       what,
		Before:     before,
		After:      after,
	})
}

// Describe formats a policy on one line for the audit trail.
func Describe(p *operatorv1.Policy) string {
	return fmt.Sprintf("class=%s lifetime-ms=%d non-idempotent=%t retries=%d", p.GetClass(), p.GetLifetimeMs(), p.GetNonIdempotent(), p.GetRetries())
}

// Touches reports whether a change in the audit trail is about a policy or host
// that the edit changes.
func (e Edit) Touches(c *operatorv1.Change) bool {
	if e.Host != "" && c.GetWhat() == "server "+e.Host {
		return true
	}
	for _, p := range slices.Concat(e.Set, e.Remove) {
		if c.GetWhat() == "policy "+p.GetService()+"/"+p.GetMethod() {
			return true
		}
	}
	return false
}

// ByID returns the changes with the change id.
func ByID(changes []*operatorv1.Change, id string) []*operatorv1.Change {
	var found []*operatorv1.Change
	for _, c := range changes {
		if c.GetChangeId() == id {
			found = append(found, c)
		}
	}
	return found
}
