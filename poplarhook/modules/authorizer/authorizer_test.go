package authorizer_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/modules/authorizer"
)

func TestTeamOfToken(t *testing.T) {
	a, err := authorizer.New("operators:first-token, shop:second:token,shop:third-token")
	qt.Assert(t, err, qt.IsNil)
	for token, want := range map[string]string{
		"first-token": "operators", "second:token": "shop", "third-token": "shop", "": "", "third-toke": "", "shop:third-token": "",
	} {
		team, found := a.Team(token)
		qt.Check(t, team, qt.Equals, want)
		qt.Check(t, found, qt.Equals, want != "")
	}
	none, err := authorizer.New("")
	qt.Assert(t, err, qt.IsNil)
	_, found := none.Team("")
	qt.Assert(t, found, qt.IsFalse)
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for _, setting := range []string{"operators", ":secret-token", "Shop:secret-token", "shop:secret", "shop:", "a:secret-token,", "shop:secret token"} {
		_, err := authorizer.New(setting)
		qt.Check(t, err, qt.ErrorIs, authorizer.ErrInvalid, qt.Commentf("%q", setting))
		qt.Check(t, strings.Contains(err.Error(), "secret"), qt.IsFalse)
	}
}
