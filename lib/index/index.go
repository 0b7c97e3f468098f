package index

import "time"

// Key is the key of the index object in the store.
const Key = "config/index"

// Index is the object whose conditional update is the moment a change is accepted.
type Index struct {
	Revision  int64    `json:"revision"`
	ChangeID  string   `json:"change_id"`
	Documents []Entry  `json:"documents"`
	ZonesOut  []string `json:"zones_out"`
	History   []Change `json:"history"`
}

// Entry names the immutable object that holds the current document of a team.
type Entry struct {
	Team string `json:"team"`
	Key  string `json:"key"`
}

// Change is one accepted change, newest first in the history.
type Change struct {
	Revision int64     `json:"revision"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	Summary  string    `json:"summary"`
	At       time.Time `json:"at"`
}
