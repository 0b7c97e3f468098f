package administrator

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"poplarhook.example/lib/problem"
	"poplarhook.example/poplarhook/modules/authorizer"
)

// handler handles a request of an authorized team.
type handler func(w http.ResponseWriter, r *http.Request, team string)

// permission reports whether a team may make the request.
type permission func(team string, r *http.Request) bool

// anyTeam permits every team with a valid token.
func (a *Administrator) anyTeam(next handler) http.HandlerFunc {
	return a.requirePermission(func(string, *http.Request) bool { return true }, next)
}

// operatorsOnly permits only the operators.
func (a *Administrator) operatorsOnly(next handler) http.HandlerFunc {
	return a.requirePermission(func(team string, _ *http.Request) bool { return team == authorizer.Operators }, next)
}

// ownerOnly permits only the team named in the path, and never the operators, because they have no document.
func (a *Administrator) ownerOnly(next handler) http.HandlerFunc {
	return a.requirePermission(func(team string, r *http.Request) bool {
		return team == mux.Vars(r)["team"] && team != authorizer.Operators
	}, next)
}

// ownerOrOperators permits the team named in the path and the operators.
func (a *Administrator) ownerOrOperators(next handler) http.HandlerFunc {
	return a.requirePermission(func(team string, r *http.Request) bool {
		return team == mux.Vars(r)["team"] || team == authorizer.Operators
	}, next)
}

func (a *Administrator) requirePermission(permitted permission, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		team, found := a.authorizer.Team(bearerToken(r))
		if !found {
			a.count("admin_unauthorized")
			w.Header().Set("WWW-Authenticate", "Bearer")
			problem.New(http.StatusUnauthorized, problem.CodeUnauthorized, "a valid bearer token is required").Write(w)
			return
		}
		if !permitted(team, r) {
			a.count("admin_forbidden")
			problem.New(http.StatusForbidden, problem.CodeForbidden, "team "+team+" may not do this").Write(w)
			return
		}
		next(w, r, team)
	}
}

func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
