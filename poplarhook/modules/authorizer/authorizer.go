package authorizer

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/pkg/errors"
)

// Operators is the team that may take availability zones out and read everything.
const Operators = "operators"

// MinTokenBytes is the length of the shortest token.
const MinTokenBytes = 8

// ErrInvalid says that the setting is not a list of team:token pairs; it never shows a token.
var ErrInvalid = errors.New("invalid list of tokens")

// Authorizer knows the tokens of each team, as digests only.
type Authorizer struct {
	grants []grant
}

type grant struct {
	team   string
	digest [sha256.Size]byte
}

// New returns the authorizer of a setting such as "operators:TOKEN,shop:TOKEN";
// a team may have several tokens, and with an empty setting no token is valid.
func New(setting string) (Authorizer, error) {
	var a Authorizer
	if setting == "" {
		return a, nil
	}
	for i, pair := range strings.Split(setting, ",") {
		team, token, found := strings.Cut(strings.TrimSpace(pair), ":")
		if !found || !isTeam(team) {
			return Authorizer{}, errors.Wrapf(ErrInvalid, "entry %d is not team:token with a team of a-z, 0-9 and _", i+1)
		}
		if len(token) < MinTokenBytes || strings.ContainsFunc(token, isNotVisible) {
			return Authorizer{}, errors.Wrapf(ErrInvalid, "token of team %s has not at least %d visible characters", team, MinTokenBytes)
		}
		a.grants = append(a.grants, grant{team: team, digest: sha256.Sum256([]byte(token))})
	}
	return a, nil
}

// Team returns the team of a token and whether there is one, in a time that
// does not depend on the token.
func (a Authorizer) Team(token string) (string, bool) {
	digest := sha256.Sum256([]byte(token))
	team, found := "", false
	for _, g := range a.grants {
		if subtle.ConstantTimeCompare(g.digest[:], digest[:]) == 1 {
			team, found = g.team, true
		}
	}
	return team, found
}

func isTeam(team string) bool {
	return team != "" && !strings.ContainsFunc(team, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '_'
	})
}

func isNotVisible(r rune) bool {
	return r <= ' ' || r > '~'
}
