package authorizer

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/pkg/errors"
)

// Operators is the name of the team that may take availability zones out of service and read all configuration.
const Operators = "operators"

// MinTokenBytes is the minimum length of a token in bytes.
const MinTokenBytes = 8

// ErrInvalid is the error of a setting that is not a list of team:token pairs; its text never contains a token.
var ErrInvalid = errors.New("invalid list of tokens")

// Authorizer maps bearer tokens to teams; it stores only the SHA-256 digests of the tokens.
type Authorizer struct {
	credentials []credential
}

type credential struct {
	team   string
	digest [sha256.Size]byte
}

// New parses a setting such as "operators:TOKEN,shop:TOKEN" into an Authorizer.
//
// A team may have several tokens. With an empty setting, no token is valid.
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
		if len(token) < MinTokenBytes || strings.ContainsFunc(token, isInvisible) {
			return Authorizer{}, errors.Wrapf(ErrInvalid, "token of team %s must have at least %d characters, all of them visible ASCII", team, MinTokenBytes)
		}
		a.credentials = append(a.credentials, credential{team: team, digest: sha256.Sum256([]byte(token))})
	}
	return a, nil
}

// Team returns the team of a token and whether the token is valid.
//
// The time that it takes does not depend on the token.
func (a Authorizer) Team(token string) (string, bool) {
	digest := sha256.Sum256([]byte(token))
	team, found := "", false
	for _, c := range a.credentials {
		if subtle.ConstantTimeCompare(c.digest[:], digest[:]) == 1 {
			team, found = c.team, true
		}
	}
	return team, found
}

func isTeam(team string) bool {
	return team != "" && !strings.ContainsFunc(team, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '_'
	})
}

func isInvisible(r rune) bool {
	return r <= ' ' || r > '~'
}
