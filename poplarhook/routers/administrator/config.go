package administrator

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/proposal"
	"poplarhook.example/lib/publisher"
	"poplarhook.example/lib/violation"
	"poplarhook.example/poplarhook/modules/authorizer"
)

// config answers with the accepted configuration, a team's own part of it for a team.
func (a *Administrator) config(w http.ResponseWriter, r *http.Request, team string) {
	snap, err := a.publisher.Snapshot(r.Context())
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	if team != authorizer.Operators {
		snap.Documents = slices.DeleteFunc(slices.Clone(snap.Documents), func(d document.Document) bool { return d.Team != team })
	}
	writeAt(w, snap.Revision, snap)
}

func (a *Administrator) document(w http.ResponseWriter, r *http.Request, _ string) {
	snap, err := a.publisher.Snapshot(r.Context())
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	owner := mux.Vars(r)["team"]
	at := slices.IndexFunc(snap.Documents, func(d document.Document) bool { return d.Team == owner })
	if at < 0 {
		a.refuse(w, r, errors.Wrapf(publisher.ErrUnknownChange, "team %.64q has no document", owner))
		return
	}
	writeAt(w, snap.Revision, snap.Documents[at])
}

// replace puts a team's document in force, or only checks it for dry_run=true.
func (a *Administrator) replace(w http.ResponseWriter, r *http.Request, team string) {
	doc, err := a.read(r, team)
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	dry, err := isDry(r)
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	if dry {
		a.check(w, r, doc)
		return
	}
	a.publish(w, r, proposal.ForDocument(r.URL.Query().Get("change_id"), team, a.clock(), doc))
}

func (a *Administrator) read(r *http.Request, team string) (document.Document, error) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return document.Document{}, err
	}
	doc, err := a.parser.Parse(text)
	if err == nil && doc.Team != team {
		err = violation.New("team", doc.Team, "the team of the token and the path, "+team)
	}
	return doc, err
}

func isDry(r *http.Request) (bool, error) {
	value := r.URL.Query().Get("dry_run")
	if value == "" {
		return false, nil
	}
	dry, err := strconv.ParseBool(value)
	if err != nil {
		return false, violation.New("dry_run", value, "true or false")
	}
	return dry, nil
}

func (a *Administrator) check(w http.ResponseWriter, r *http.Request, doc document.Document) {
	if err := a.publisher.Check(r.Context(), doc); err != nil {
		a.refuse(w, r, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// publish gets a change accepted within the limit and answers with it.
func (a *Administrator) publish(w http.ResponseWriter, r *http.Request, wanted proposal.Proposal) {
	revision, given, err := base(r)
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	if given {
		wanted = wanted.WithBase(revision)
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.patience(r))
	defer cancel()
	change, err := a.publisher.Publish(ctx, wanted)
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	a.count("admin_accepted")
	a.logger.Info("change accepted", zap.String("change_id", change.ChangeID), zap.Int64("revision", change.Revision),
		zap.String("author", change.Author), zap.String("summary", change.Summary))
	writeAt(w, change.Revision, change)
}

// patience returns the limit, or less if the client prefers to wait less (RFC 7240).
func (a *Administrator) patience(r *http.Request) time.Duration {
	for preference := range strings.SplitSeq(r.Header.Get("Prefer"), ",") {
		seconds, found := strings.CutPrefix(strings.TrimSpace(preference), "wait=")
		wait, err := strconv.ParseUint(seconds, 10, 16)
		if found && err == nil {
			return min(a.limit, time.Duration(wait)*time.Second)
		}
	}
	return a.limit
}

func (a *Administrator) changes(w http.ResponseWriter, r *http.Request, _ string) {
	x, _, err := a.publisher.Index(r.Context())
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	writeAt(w, x.Revision, append([]index.Change{}, x.History...))
}

func (a *Administrator) change(w http.ResponseWriter, r *http.Request, _ string) {
	x, _, err := a.publisher.Index(r.Context())
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	id := mux.Vars(r)["id"]
	change, found := x.Change(id)
	if !found {
		a.refuse(w, r, errors.Wrapf(publisher.ErrUnknownChange, "%.64q", id))
		return
	}
	writeAt(w, change.Revision, change)
}
