// Package control is the control plane for operators. It stores the settings tree, distributes its versions to the daemons
// of every failure domain, and serves the operators' HTTP API for settings, jobs, cells and failure domains.
package control

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/settings"
)

// Head is the value of the settings version row and of each history row.
type Head struct {
	// Version is the number of the accepted tree, starting at 1. 0 means that no tree was accepted yet.
	Version int64 `json:"version"`
	// Manifest is the key of the object that holds the Manifest.
	Manifest string `json:"manifest"`
	Author   string `json:"author"`
	Comment  string `json:"comment,omitempty"`
	// At is Unix time in milliseconds, for display only.
	At int64 `json:"at_ms"`
}

// Manifest maps the path of each level to its digest.
type Manifest map[string]string

// StaleParentError reports that another tree was accepted after the version on which a new tree is based.
type StaleParentError struct {
	Parent  int64 `json:"parent"`
	Current int64 `json:"current"`
	// Conflicts lists the keys that were changed since Parent and that have another value in the rejected tree.
	// Old is the active value.
	Conflicts []settings.Change `json:"conflicts"`
}

// Error implements error.
func (e *StaleParentError) Error() string {
	return fmt.Sprintf("version %d is not current any more; version %d is", e.Parent, e.Current)
}

// Store keeps settings trees in the platform's table and object store. Levels and manifests are content-addressed objects.
// Only the version row is overwritten, on the condition that it has not changed since it was read.
type Store struct {
	table   infra.Table
	objects infra.Objects

	mu     sync.Mutex // serializes commits through writer
	writer *ledger.Writer
}

// NewStore returns a store. writer is a name that is unique among all concurrent writers.
func NewStore(table infra.Table, objects infra.Objects, writer string) *Store {
	return &Store{table: table, objects: objects, writer: ledger.NewWriter(table, writer)}
}

// Head returns the newest accepted settings version and the version of its row.
func (s *Store) Head(ctx context.Context) (Head, int64, error) {
	rows, err := s.table.Read(ctx, ledger.SettingsVersionKey)
	if err != nil {
		return Head{}, 0, err
	}
	if rows[0].Version == 0 {
		return Head{}, 0, nil
	}
	head, err := ledger.Decode[Head](rows[0].Key, rows[0].Value)
	return head, rows[0].Version, err
}

// Manifest returns the manifest of a settings version.
func (s *Store) Manifest(ctx context.Context, head Head) (Manifest, error) {
	if head.Version == 0 {
		return Manifest{}, nil
	}
	data, err := s.objects.Get(ctx, head.Manifest)
	if err != nil {
		return nil, errors.Annotatef(err, "manifest of settings version %d", head.Version)
	}
	var manifest Manifest
	return manifest, errors.Annotatef(json.Unmarshal(data, &manifest), "object %s", head.Manifest)
}

// Level returns the text of the level with a digest.
func (s *Store) Level(ctx context.Context, digest string) (string, error) {
	data, err := s.objects.Get(ctx, levelObject(digest))
	return string(data), errors.Annotatef(err, "settings level %s", digest)
}

// Sources returns the text of all levels of a settings version.
func (s *Store) Sources(ctx context.Context, head Head) (settings.Sources, error) {
	manifest, err := s.Manifest(ctx, head)
	if err != nil {
		return nil, err
	}
	sources := settings.Sources{}
	for path, digest := range manifest {
		if sources[path], err = s.Level(ctx, digest); err != nil {
			return nil, err
		}
	}
	return sources, nil
}

// History returns at most limit accepted versions, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]Head, error) {
	head, _, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	first := max(head.Version-int64(limit), 0)
	rows, err := s.table.Scan(ctx, ledger.SettingsHistoryPrefix, ledger.SettingsHistoryKey(first), limit)
	if err != nil {
		return nil, err
	}
	heads := make([]Head, 0, len(rows))
	for _, row := range slices.Backward(rows) {
		h, err := ledger.Decode[Head](row.Key, row.Value)
		if err != nil {
			return nil, err
		}
		heads = append(heads, h)
	}
	return heads, nil
}

// Apply stores sources as the next settings version and returns it. parent must be the newest accepted version.
//
// Errors are settings.Problems if the tree is invalid, *StaleParentError if parent is not the newest version, and
// the errors of the platform. After *infra.UnknownOutcomeError the tree may or may not have been accepted.
func (s *Store) Apply(ctx context.Context, parent int64, sources settings.Sources, author, comment string) (int64, error) {
	tree, err := settings.Parse(sources)
	if err != nil {
		return 0, err
	}
	head, rowVersion, err := s.Head(ctx)
	if err != nil {
		return 0, err
	}
	if head.Version != parent {
		return 0, s.staleParent(ctx, parent, tree)
	}
	next := Head{Version: parent + 1, Author: author, Comment: comment, At: time.Now().UnixMilli()}
	if next.Manifest, err = s.upload(ctx, head, sources); err != nil {
		return 0, err
	}
	err = s.commit(ctx, rowVersion, next)
	if infra.IsConflict(err) {
		return 0, s.staleParent(ctx, parent, tree)
	}
	return next.Version, err
}

// upload stores the levels that differ from those of head, then the manifest. It returns the manifest's key.
func (s *Store) upload(ctx context.Context, head Head, sources settings.Sources) (string, error) {
	old, err := s.Manifest(ctx, head)
	if err != nil {
		return "", err
	}
	manifest := Manifest{}
	for path, source := range sources {
		digest := settings.Digest(source)
		manifest[path] = digest
		if old[path] == digest {
			continue
		}
		if err := s.objects.Put(ctx, levelObject(digest), []byte(source)); err != nil {
			return "", errors.Annotatef(err, "store level %s", path)
		}
	}
	data := ledger.Encode(manifest)
	key := "settings/manifest/" + settings.Digest(string(data))
	return key, errors.Annotate(s.objects.Put(ctx, key, data), "store the manifest")
}

// commit writes next to the version row and to the history, on the condition that the version row has rowVersion.
func (s *Store) commit(ctx context.Context, rowVersion int64, next Head) error {
	value := ledger.Encode(next)
	txn := infra.Txn{
		Conditions: []infra.Condition{{Key: ledger.SettingsVersionKey, Version: rowVersion}},
		Writes: []infra.Write{
			{Key: ledger.SettingsVersionKey, Value: value},
			{Key: ledger.SettingsHistoryKey(next.Version), Value: value},
		},
	}
	_, err := s.Commit(ctx, txn)
	return err
}

// Commit applies a transaction at most once, through this process's ledger writer. See ledger.Writer.Commit for errors.
func (s *Store) Commit(ctx context.Context, txn infra.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, err := s.writer.Commit(ctx, txn)
	if errors.Is(err, ledger.ErrUnresolved) {
		// The caller of the earlier commit already got an unknown outcome, so its resolved outcome is not needed.
		if _, err := s.writer.Resolve(ctx); err != nil {
			return 0, &infra.UnavailableError{Err: err}
		}
		version, err = s.writer.Commit(ctx, txn)
	}
	return version, err
}

// staleParent returns the error for a tree whose parent is not the newest version. Conflicts is empty if a tree cannot be
// read.
func (s *Store) staleParent(ctx context.Context, parent int64, tree *settings.Tree) error {
	stale := &StaleParentError{Parent: parent}
	head, _, err := s.Head(ctx)
	if err != nil {
		return stale
	}
	stale.Current = head.Version
	base, errBase := s.treeAt(ctx, parent)
	current, errCurrent := s.treeOf(ctx, head)
	if errBase != nil || errCurrent != nil {
		return stale
	}
	changedSinceParent := map[string]bool{}
	for _, change := range settings.Diff(base, current) {
		changedSinceParent[change.Level+" "+change.Key] = true
	}
	for _, change := range settings.Diff(current, tree) {
		if changedSinceParent[change.Level+" "+change.Key] {
			stale.Conflicts = append(stale.Conflicts, change)
		}
	}
	return stale
}

// treeAt returns the tree of an accepted version number.
func (s *Store) treeAt(ctx context.Context, version int64) (*settings.Tree, error) {
	if version == 0 {
		return settings.Parse(settings.Sources{})
	}
	key := ledger.SettingsHistoryKey(version)
	rows, err := s.table.Read(ctx, key)
	if err != nil {
		return nil, err
	}
	if rows[0].Version == 0 {
		return nil, errors.NotFoundf("settings version %d", version)
	}
	head, err := ledger.Decode[Head](key, rows[0].Value)
	if err != nil {
		return nil, err
	}
	return s.treeOf(ctx, head)
}

// treeOf returns the tree that head points to.
func (s *Store) treeOf(ctx context.Context, head Head) (*settings.Tree, error) {
	sources, err := s.Sources(ctx, head)
	if err != nil {
		return nil, err
	}
	return settings.Parse(sources)
}

func levelObject(digest string) string { return "settings/level/" + digest }
