package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fields are the values with which the platform fills in the settings template, under the names of its page.
type fields map[string]any

// lookup returns the value of a dotted name.
func (f fields) lookup(name string) any {
	var value any = map[string]any(f)
	for part := range strings.SplitSeq(name, ".") {
		table, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = table[part]
	}
	return value
}

var (
	seedSection = regexp.MustCompile(`(?s)\{\{#seeds\}\}.*?\{\{/seeds\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\|json\}\}`)
)

// render fills in the template. Only the forms that the project's template uses are known.
func render(template string, f fields) string {
	text := seedSection.ReplaceAllStringFunc(template, func(string) string {
		var quoted []string
		for _, seed := range f["seeds"].([]string) {
			quoted = append(quoted, toJSON(seed))
		}
		return strings.Join(quoted, ",")
	})
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		return toJSON(f.lookup(placeholder.FindStringSubmatch(match)[1]))
	})
}

func toJSON(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// gateway is one process of the project, started as the deploy file says.
type gateway struct {
	name     string
	front    string
	ready    string
	settings string
	log      string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	outcome string
}

// freePorts returns ports that are free on the loopback address at the moment.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// start starts the process.
func (g *gateway) start(root string) error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(filepath.Join(root, "target", "poplarhook"), "gateway")
	c.Dir = root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POPLARHOOK_SETTINGS=" + g.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.command, g.exited, g.outcome = c, exited, ""
	g.mu.Unlock()
	go func() {
		err := c.Wait()
		g.mu.Lock()
		g.outcome = "exit status 0"
		if err != nil {
			g.outcome = err.Error()
		}
		g.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.command.Process.Signal(s)
}

// hasEnded returns how the process has ended, and false if it runs.
func (g *gateway) hasEnded() (string, bool) {
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	select {
	case <-exited:
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.outcome, true
	default:
		return "", false
	}
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	if g.command == nil {
		return
	}
	if _, ended := g.hasEnded(); !ended {
		g.signal(syscall.SIGKILL)
		<-g.exited
	}
}

// isReady asks the readiness address as the platform does.
func (g *gateway) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/-/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// trace returns the first lines of the process's output that are neither log lines nor places in source files, such as the
// functions in the trace of a panic.
func (g *gateway) trace(n int) []string {
	text, err := os.ReadFile(g.log)
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.SplitSeq(string(text), "\n") {
		if line != "" && line[0] != '{' && line[0] != '\t' {
			lines = append(lines, line)
		}
	}
	return lines[:min(n, len(lines))]
}

func describe(g *gateway) string { return fmt.Sprintf("gateway %s at %s", g.name, g.front) }
