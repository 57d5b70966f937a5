// Package editor applies operators' edits to the configuration document in the
// platform's key-value service by compare-and-swap. The audit trail is part of the
// document, so an edit and its audit entry are written atomically.
package editor

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"

	"teaseltack"
	"teaseltack/core/policy"
)

const (
	// DocumentKey is the platform key of the document.
	DocumentKey = "config/document"
	// archivePrefix starts the platform keys of archived audit entries.
	archivePrefix = "config/archive/"
	// recentLimit is the number of audit entries in the document at which the
	// next edit archives the oldest.
	recentLimit = 64
	// keptRecent is the number of the newest audit entries that stay in the
	// document when older ones are archived.
	keptRecent = 32
	// searchedArchives is the number of the newest archives that are searched
	// for a change id.
	searchedArchives = 8
	// maxAttempts bounds the attempts at compare-and-swap.
	maxAttempts = 8
	// callTimeout bounds one call to the platform.
	callTimeout = time.Second
)

// The results of an edit.
const (
	accepted = "accepted"
	refused  = "refused"
	unknown  = "unknown"
)

// Config configures an Editor.
type Config struct {
	Timers teaseltack.Timers
	Store  teaseltack.KeyValue
	// OnDocument is called with each document that was read or written, on the
	// goroutine of the caller of Load or Apply and without locks.
	OnDocument func(*operatorv1.Document)
}

// Editor edits the document. It is safe for concurrent use.
type Editor struct {
	cfg Config
}

// New returns an editor.
func New(cfg Config) *Editor {
	return &Editor{cfg: cfg}
}

// Load reads the document and its revision from the platform.
func (e *Editor) Load(ctx context.Context) (*operatorv1.Document, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := e.cfg.Store.Get(ctx, DocumentKey)
	if err != nil {
		return nil, 0, fmt.Errorf("reading %s: %w", DocumentKey, err)
	}
	document, err := Decode(entry.Value)
	if err != nil {
		return nil, 0, err
	}
	e.cfg.OnDocument(document)
	return document, entry.Revision, nil
}

// Decode parses a document as stored at the platform.
func Decode(value []byte) (*operatorv1.Document, error) {
	document := &operatorv1.Document{}
	if err := proto.Unmarshal(value, document); err != nil {
		return nil, fmt.Errorf("decoding %s: %w", DocumentKey, err)
	}
	return document, nil
}

// Apply applies one edit. An expected generation of 0 applies the edit to the
// newest document; otherwise the edit is refused if a change since that
// generation conflicts with it, or if the document may no longer have every
// change since then. An edit is applied at most once for a change id that is
// still in the document or in the newest searchedArchives archives.
func (e *Editor) Apply(ctx context.Context, edit policy.Edit, expected teaseltack.Generation, dryRun bool) *operatorv1.Outcome {
	if faults := edit.Check(); len(faults) > 0 {
		return &operatorv1.Outcome{Result: refused, Detail: errors.Join(faults...).Error()}
	}
	mayHaveWritten := false
	var cause error
	for range maxAttempts {
		document, revision, err := e.Load(ctx)
		if err != nil {
			return failedOutcome(mayHaveWritten, err)
		}
		outcome, next := e.decide(ctx, document, edit, expected)
		if outcome != nil {
			return outcome
		}
		if dryRun {
			return &operatorv1.Outcome{Result: accepted, Generation: next.Generation, Detail: "dry run: nothing was written", Changes: policy.ByID(next.Recent, edit.ChangeID)}
		}
		failure := e.write(ctx, document, next, revision)
		if failure == nil {
			e.cfg.OnDocument(next)
			return acceptedOutcome(next.Generation, policy.ByID(next.Recent, edit.ChangeID))
		}
		// The next attempt reads whether a write with an unknown outcome took effect. If
		// it has not, writing again with the same expected revision is safe, since at
		// most one of the two writes can succeed.
		cause, mayHaveWritten = failure.err, mayHaveWritten || failure.mayHaveWritten
	}
	return failedOutcome(mayHaveWritten, fmt.Errorf("no write succeeded after %d attempts: %w", maxAttempts, cause))
}

func acceptedOutcome(generation uint64, changes []*operatorv1.Change) *operatorv1.Outcome {
	return &operatorv1.Outcome{Result: accepted, Generation: generation, Changes: changes}
}

func failedOutcome(mayHaveWritten bool, err error) *operatorv1.Outcome {
	if mayHaveWritten {
		return &operatorv1.Outcome{Result: unknown, Detail: fmt.Sprintf("the change may have been written (%v); repeat it with the same change id", err)}
	}
	return &operatorv1.Outcome{Result: refused, Detail: fmt.Sprintf("this request wrote nothing, but an earlier one with the same change id may have been applied: %v", err)}
}

// decide returns the outcome of an edit that was applied before, conflicts or
// is invalid; for any other edit it returns the next document.
func (e *Editor) decide(ctx context.Context, document *operatorv1.Document, edit policy.Edit, expected teaseltack.Generation) (*operatorv1.Outcome, *operatorv1.Document) {
	earlier, err := e.find(ctx, document, edit.ChangeID)
	if err != nil {
		return &operatorv1.Outcome{Result: refused, Detail: fmt.Sprintf("this request wrote nothing, but an earlier one with the same change id may have been applied: %v", err)}, nil
	}
	if len(earlier) > 0 {
		return acceptedOutcome(earlier[0].Generation, earlier), nil
	}
	if conflicts := conflicting(document, edit, expected); len(conflicts) > 0 {
		return conflictOutcome(document, conflicts), nil
	}
	next, err := policy.Apply(document, edit, e.cfg.Timers.Now())
	if err != nil {
		return &operatorv1.Outcome{Result: refused, Generation: document.Generation, Detail: err.Error()}, nil
	}
	return nil, next
}

// find returns the audit entries with a change id from the document or, if it
// has none, from the newest archives.
func (e *Editor) find(ctx context.Context, document *operatorv1.Document, id string) ([]*operatorv1.Change, error) {
	if found := policy.ByID(document.Recent, id); len(found) > 0 {
		return found, nil
	}
	for i := range min(document.Archives, searchedArchives) {
		archived, err := e.readArchive(ctx, document.Archives-1-i)
		if err != nil {
			return nil, err
		}
		if found := policy.ByID(archived, id); len(found) > 0 {
			return found, nil
		}
	}
	return nil, nil
}

// conflicting returns the audit entries since the expected generation that the
// edit conflicts with. If none of those in the document does, but older ones since
// then were archived, it returns all entries in the document.
func conflicting(document *operatorv1.Document, edit policy.Edit, expected teaseltack.Generation) []*operatorv1.Change {
	if expected == 0 || uint64(expected) == document.Generation {
		return nil
	}
	var conflicts []*operatorv1.Change
	oldest := document.Generation + 1
	for _, change := range document.Recent {
		oldest = min(oldest, change.Generation)
		if change.Generation > uint64(expected) && edit.Touches(change) {
			conflicts = append(conflicts, change)
		}
	}
	if len(conflicts) == 0 && uint64(expected)+1 < oldest {
		return document.Recent
	}
	return conflicts
}

func conflictOutcome(document *operatorv1.Document, conflicts []*operatorv1.Change) *operatorv1.Outcome {
	var lines []string
	for _, change := range conflicts {
		lines = append(lines, fmt.Sprintf("generation %d by %s: %s, was %q, is %q", change.Generation, change.Who, change.What, change.Before, change.After))
	}
	return &operatorv1.Outcome{
		Result:     refused,
		Generation: document.Generation,
		Detail:     "changed by another operator in the meantime: " + strings.Join(lines, "; "),
		Changes:    conflicts,
	}
}

// writeFailure is why a document was not written, as far as is known.
type writeFailure struct {
	err error
	// mayHaveWritten is set if the write may have taken effect.
	mayHaveWritten bool
}

var errChangedMeanwhile = errors.New("another operator changed the document in the meantime")

// write archives the oldest audit entries if needed, then swaps the document. It
// returns nil if the document was written.
func (e *Editor) write(ctx context.Context, before, next *operatorv1.Document, revision uint64) *writeFailure {
	if err := e.archiveOldest(ctx, before, next); err != nil {
		return &writeFailure{err: err}
	}
	value, err := proto.Marshal(next)
	if err != nil {
		return &writeFailure{err: fmt.Errorf("encoding %s: %w", DocumentKey, err)}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := e.cfg.Store.Swap(ctx, DocumentKey, value, revision, 0)
	if err != nil {
		return &writeFailure{err: fmt.Errorf("writing %s: %w", DocumentKey, err), mayHaveWritten: true}
	}
	if !entry.Swapped {
		return &writeFailure{err: errChangedMeanwhile}
	}
	return nil
}

// archiveOldest copies the oldest audit entries to an archive key before it
// removes them from the next document. The archive's content depends only on
// the document, so concurrent writers write the same bytes.
func (e *Editor) archiveOldest(ctx context.Context, before, next *operatorv1.Document) error {
	if len(before.Recent) < recentLimit {
		return nil
	}
	older := len(before.Recent) - keptRecent
	value, err := proto.Marshal(&operatorv1.GetHistoryResponse{Changes: before.Recent[:older], Complete: true})
	if err != nil {
		return fmt.Errorf("encoding an archive: %w", err)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := archiveKey(before.Archives)
	if _, err := e.cfg.Store.Swap(callCtx, key, value, 0, 0); err != nil {
		return fmt.Errorf("writing %s: %w", key, err)
	}
	next.Recent = next.Recent[older:]
	next.Archives++
	return nil
}

func archiveKey(index uint64) string {
	return archivePrefix + strconv.FormatUint(index, 10)
}

func (e *Editor) readArchive(ctx context.Context, index uint64) ([]*operatorv1.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := archiveKey(index)
	entry, err := e.cfg.Store.Get(ctx, key)
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", key, err)
	}
	archived := &operatorv1.GetHistoryResponse{}
	if err := proto.Unmarshal(entry.Value, archived); err != nil {
		return nil, fmt.Errorf("decoding %s: %w", key, err)
	}
	return archived.Changes, nil
}

// History returns up to limit audit entries of the document and its archives,
// newest first. The flag is false if an archive could not be read.
func (e *Editor) History(ctx context.Context, document *operatorv1.Document, limit int) ([]*operatorv1.Change, bool) {
	var changes []*operatorv1.Change
	collect := func(list []*operatorv1.Change) {
		for i := len(list) - 1; i >= 0 && len(changes) < limit; i-- {
			changes = append(changes, list[i])
		}
	}
	collect(document.Recent)
	for i := document.Archives; i > 0 && len(changes) < limit; i-- {
		archived, err := e.readArchive(ctx, i-1)
		if err != nil {
			return changes, false
		}
		collect(archived)
	}
	return changes, true
}
