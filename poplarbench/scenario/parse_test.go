package scenario_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/scenario"
)

const entry = `{"name":"stock","weight":3,"method":"GET","path":"/stock","deadline_ms":200}`

func TestParse(t *testing.T) {
	c := qt.New(t)
	s, err := scenario.Parse(strings.NewReader(`{"duration_ms":1500,"seed":7,"rate_per_s":20.5,"mix":[` + entry + `]}`))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Arrivals, qt.Equals, scenario.Poisson)
	c.Assert(s.Duration().Seconds(), qt.Equals, 1.5)
	c.Assert(s.Mix[0].Deadline().Milliseconds(), qt.Equals, int64(200))
}

func TestParseRefuses(t *testing.T) {
	table := []struct{ name, text, want string }{
		{"unknown field", `{"speed":1}`, `.*unknown field "speed".*`},
		{"wrong type", `{"duration_ms":"long"}`, `.*duration_ms.*string.*int64.*`},
		{"no duration", `{"rate_per_s":1,"mix":[` + entry + `]}`, `.*duration_ms: value 0 .*1 to 86400000.*`},
		{"no rate", `{"duration_ms":1,"mix":[` + entry + `]}`, `.*rate_per_s: value 0 .*above 0.*`},
		{"no mix", `{"duration_ms":1,"rate_per_s":1}`, `.*mix entries: value 0 .*1 to 256.*`},
		{"arrivals", `{"duration_ms":1,"rate_per_s":1,"arrivals":"x","mix":[` + entry + `]}`, `.*arrivals: value "x".*poisson, constant.*`},
		{"duplicate name", `{"duration_ms":1,"rate_per_s":1,"mix":[` + entry + `,` + entry + `]}`, `.*mix\[1\].name: value "stock".*`},
		{"method", `{"duration_ms":1,"rate_per_s":1,"mix":[{"name":"a","weight":1,"method":"get","path":"/"}]}`, `.*mix\[0\].method: value "get".*GET.*`},
		{"path", `{"duration_ms":1,"rate_per_s":1,"mix":[{"name":"a","weight":1,"method":"GET","path":"x"}]}`, `.*mix\[0\].path: value "x".*`},
		{"weight", `{"duration_ms":1,"rate_per_s":1,"mix":[{"name":"a","weight":0,"method":"GET","path":"/"}]}`, `.*mix\[0\].weight: value 0 .*1 to 1000000.*`},
		{"trailing text", `{"duration_ms":1,"rate_per_s":1,"mix":[` + entry + `]} {}`, `.*text after.*`},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			_, err := scenario.Parse(strings.NewReader(row.text))
			qt.Assert(t, err, qt.ErrorIs, scenario.ErrInvalid)
			qt.Assert(t, err, qt.ErrorMatches, row.want)
		})
	}
}
