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

// getConfig writes the accepted configuration; only the operators get the documents of all teams, others get their own.
func (a *Administrator) getConfig(w http.ResponseWriter, r *http.Request, team string) {
	snap, err := a.publisher.Snapshot(r.Context())
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	if team != authorizer.Operators {
		snap.Documents = slices.DeleteFunc(slices.Clone(snap.Documents), func(d document.Document) bool { return d.Team != team })
	}
	writeAtRevision(w, snap.Revision, snap)
}

func (a *Administrator) getDocument(w http.ResponseWriter, r *http.Request, _ string) {
	snap, err := a.publisher.Snapshot(r.Context())
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	owner := mux.Vars(r)["team"]
	position := slices.IndexFunc(snap.Documents, func(d document.Document) bool { return d.Team == owner })
	if position < 0 {
		a.refuse(w, r, errors.Wrapf(publisher.ErrUnknownChange, "team %.64q has no document", owner))
		return
	}
	writeAtRevision(w, snap.Revision, snap.Documents[position])
}

// replaceDocument publishes a new document of a team; with dry_run=true it only checks the document.
func (a *Administrator) replaceDocument(w http.ResponseWriter, r *http.Request, team string) {
	doc, err := a.readDocument(r, team)
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	dryRun, err := isDryRun(r)
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	if dryRun {
		a.checkDocument(w, r, doc)
		return
	}
	a.publish(w, r, proposal.ForDocument(r.URL.Query().Get("change_id"), team, a.clock(), doc))
}

func (a *Administrator) readDocument(r *http.Request, team string) (document.Document, error) {
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

func isDryRun(r *http.Request) (bool, error) {
	value := r.URL.Query().Get("dry_run")
	if value == "" {
		return false, nil
	}
	dryRun, err := strconv.ParseBool(value)
	if err != nil {
		return false, violation.New("dry_run", value, "true or false")
	}
	return dryRun, nil
}

func (a *Administrator) checkDocument(w http.ResponseWriter, r *http.Request, doc document.Document) {
	if err := a.publisher.Check(r.Context(), doc); err != nil {
		a.refuse(w, r, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// publish publishes a change, waits for its acceptance within the time limit and writes the accepted change.
func (a *Administrator) publish(w http.ResponseWriter, r *http.Request, proposed proposal.Proposal) {
	revision, given, err := ifMatchRevision(r)
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	if given {
		proposed = proposed.WithBase(revision)
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.waitLimit(r))
	defer cancel()
	change, err := a.publisher.Publish(ctx, proposed)
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	a.count("admin_accepted")
	a.logger.Info("change accepted", zap.String("change_id", change.ChangeID), zap.Int64("revision", change.Revision),
		zap.String("author", change.Author), zap.String("summary", change.Summary))
	writeAtRevision(w, change.Revision, change)
}

// waitLimit returns the publish timeout, or the shorter wait time that the client prefers (RFC 7240).
func (a *Administrator) waitLimit(r *http.Request) time.Duration {
	for preference := range strings.SplitSeq(r.Header.Get("Prefer"), ",") {
		seconds, found := strings.CutPrefix(strings.TrimSpace(preference), "wait=")
		wait, err := strconv.ParseUint(seconds, 10, 16)
		if found && err == nil {
			return min(a.publishTimeout, time.Duration(wait)*time.Second)
		}
	}
	return a.publishTimeout
}

func (a *Administrator) listChanges(w http.ResponseWriter, r *http.Request, _ string) {
	current, _, err := a.publisher.Index(r.Context())
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	writeAtRevision(w, current.Revision, append([]index.Change{}, current.History...))
}

func (a *Administrator) getChange(w http.ResponseWriter, r *http.Request, _ string) {
	current, _, err := a.publisher.Index(r.Context())
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	id := mux.Vars(r)["id"]
	change, found := current.Change(id)
	if !found {
		a.refuse(w, r, errors.Wrapf(publisher.ErrUnknownChange, "%.64q", id))
		return
	}
	writeAtRevision(w, change.Revision, change)
}
