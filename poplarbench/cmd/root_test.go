package cmd_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/cmd"
	"poplarhook.example/poplarbench/comparer"
)

const load = `{"duration_ms":50,"rate_per_s":200,"mix":[{"name":"a","weight":1,"method":"GET","path":"/"}]}`

func TestRunAndCompare(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, `{"request_id":%q}`, r.Header.Get("X-Request-Id"))
	}))
	defer server.Close()
	path := filepath.Join(t.TempDir(), "load.json")
	c.Assert(os.WriteFile(path, []byte(load), 0o600), qt.IsNil)
	var out bytes.Buffer
	args := []string{"run", path, "--target", server.Listener.Addr().String(), "--seed", "9"}
	c.Assert(cmd.Run(t.Context(), args, &out, time.Now), qt.IsNil)
	file := path + ".out"
	c.Assert(os.WriteFile(file, out.Bytes(), 0o600), qt.IsNil)
	read, err := comparer.Read(&out)
	c.Assert(err, qt.IsNil)
	c.Assert(read.Sent > 0 && read.Served == read.Sent, qt.IsTrue)
	c.Assert(read.Seed, qt.Equals, uint64(9))
	c.Assert(cmd.Run(t.Context(), []string{"compare", file, file}, &out, time.Now), qt.IsNil)
	c.Assert(out.String(), qt.Contains, "p99_9_ms")
	plot := filepath.Join(t.TempDir(), "runs.svg")
	c.Assert(cmd.Run(t.Context(), []string{"plot", "--result", file, "--result", file, "--output", plot}, &out, time.Now), qt.IsNil)
	drawn, err := os.ReadFile(plot)
	c.Assert(err, qt.IsNil)
	c.Assert(string(drawn), qt.Contains, "<svg")
}

func TestRunRefuses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "load.json")
	qt.Assert(t, os.WriteFile(path, []byte(load), 0o600), qt.IsNil)
	table := []struct {
		name string
		args []string
		want string
	}{
		{"no subcommand", nil, "a subcommand is needed.*"},
		{"no target", []string{"run", path}, "--target: none given.*"},
		{"target", []string{"run", path, "--target", "here"}, `--target: value "here", allowed: host:port.*`},
		{"connections", []string{"run", path, "--target", "127.0.0.1:1", "--connections", "0"}, "--connections: value 0.*"},
		{"rate", []string{"run", path, "--target", "127.0.0.1:1", "--rate", "-1"}, "field rate_per_s: value -1.*"},
		{"plot without a result", []string{"plot", "--output", "a.svg"}, "--result: at least one.*"},
		{"plot of an unknown format", []string{"plot", "--result", path, "--output", "a.gif"}, `--output "a.gif": must end with .svg or .png.*`},
		{"plot of something else", []string{"plot", "--result", path, "--output", filepath.Join(t.TempDir(), "a.svg")}, "reading .*: invalid result"},
		{"check", []string{"run", path, "--target", "127.0.0.1:1", "--check"}, "--check without --control.*"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			err := cmd.Run(t.Context(), row.args, &bytes.Buffer{}, time.Now)
			qt.Assert(t, err, qt.ErrorMatches, row.want)
		})
	}
}
