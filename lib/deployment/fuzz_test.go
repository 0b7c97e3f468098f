package deployment_test

import (
	"testing"

	"poplarhook.example/lib/deployment"
)

// FuzzParse checks that no settings file ends the process, and that accepted settings can be used.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"admin_ports":[1,2],"bounds":{"stop_s":1e300}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := deployment.Parse(text)
		if err != nil {
			return
		}
		d.AdminAddress()
		if d.Capacity() < 0 || d.AnswerHeadLimit() < 1 || d.Bounds.ChangeTimeout() <= 0 {
			t.Fatalf("settings %s are accepted", text)
		}
	})
}
