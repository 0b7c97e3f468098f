package authenticator

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"

	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/workspace"
)

// Reasons why a key gives no workspace. None of them contains the key or its hash.
var (
	// ErrUnknownKey means that surely no workspace of the configuration holds the key.
	ErrUnknownKey = errors.New("no workspace holds the key")
	// ErrUndecided means that the holder of the key cannot be told, or must not be served, because of a defect of the
	// configuration.
	ErrUndecided = errors.New("configuration of the key's workspace cannot be applied")
)

// Authenticator finds the workspace of a key among the workspaces of one snapshot; it is immutable.
type Authenticator struct {
	hasWorkspaces bool
	// holders maps the hash of a key to its workspace. The workspace of a key that several hold has a defect.
	holders map[string]workspace.Workspace
	// hasUnreadable is true if some workspace's keys cannot all be read, so that an unknown key may be one of them.
	hasUnreadable bool
}

// New returns an Authenticator for the workspaces of a snapshot.
func New(s snapshot.Snapshot) *Authenticator {
	a := &Authenticator{hasWorkspaces: s.HasWorkspaces, holders: make(map[string]workspace.Workspace)}
	for _, w := range s.Workspaces {
		a.hasUnreadable = a.hasUnreadable || w.KeysUnreadable
		held := make(map[string]bool, len(w.KeyHashes))
		for _, hash := range w.KeyHashes {
			if !held[hash] {
				held[hash] = true
				a.add(hash, w.WithoutKeys())
			}
		}
	}
	return a
}

func (a *Authenticator) add(hash string, w workspace.Workspace) {
	if _, known := a.holders[hash]; known {
		w = w.WithDefect("another workspace has the same key")
	}
	a.holders[hash] = w
}

// HasWorkspaces reports whether the configuration declares workspaces, so that requests need a key.
func (a *Authenticator) HasWorkspaces() bool {
	return a.hasWorkspaces
}

// Authenticate returns the workspace that holds the key, without the hashes of its keys. Its errors wrap ErrUnknownKey
// and ErrUndecided.
func (a *Authenticator) Authenticate(key string) (workspace.Workspace, error) {
	sum := sha256.Sum256([]byte(key))
	w, known := a.holders[hex.EncodeToString(sum[:])]
	switch {
	case known && w.Defect != "":
		return workspace.Workspace{}, errors.Wrap(ErrUndecided, w.Defect)
	case known:
		return w, nil
	case a.hasUnreadable:
		// The reason names no workspace, since the caller may belong to none.
		return workspace.Workspace{}, errors.Wrap(ErrUndecided, "the keys of some workspace cannot be read")
	default:
		return workspace.Workspace{}, ErrUnknownKey
	}
}
