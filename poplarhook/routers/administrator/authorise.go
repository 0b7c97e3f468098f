package administrator

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"poplarhook.example/lib/problem"
	"poplarhook.example/poplarhook/modules/authorizer"
)

// handler answers a request of an authorised team.
type handler func(w http.ResponseWriter, r *http.Request, team string)

// permission tells whether a team may make the request.
type permission func(team string, r *http.Request) bool

// anyTeam lets every team with a token in.
func (a *Administrator) anyTeam(next handler) http.HandlerFunc {
	return a.permit(func(string, *http.Request) bool { return true }, next)
}

// operators lets only the operators in.
func (a *Administrator) operators(next handler) http.HandlerFunc {
	return a.permit(func(team string, _ *http.Request) bool { return team == authorizer.Operators }, next)
}

// owner lets only the team that the path names in, and never the operators, who have no document.
func (a *Administrator) owner(next handler) http.HandlerFunc {
	return a.permit(func(team string, r *http.Request) bool {
		return team == mux.Vars(r)["team"] && team != authorizer.Operators
	}, next)
}

// reader lets the team that the path names and the operators in.
func (a *Administrator) reader(next handler) http.HandlerFunc {
	return a.permit(func(team string, r *http.Request) bool {
		return team == mux.Vars(r)["team"] || team == authorizer.Operators
	}, next)
}

func (a *Administrator) permit(permitted permission, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		team, found := a.authorizer.Team(bearer(r))
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

func bearer(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
