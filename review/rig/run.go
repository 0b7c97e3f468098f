package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// run holds what one case has started, and its record.
type run struct {
	program string
	dir     string
	trouble bool
	started time.Time

	mu       sync.Mutex
	file     *os.File
	gateways []*gateway
}

func newRun(program, recordPath string, trouble bool) (*run, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &run{program: program, dir: dir, trouble: trouble, started: time.Now(), file: file}, nil
}

// record writes one line to the record.
func (c *run) record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.file, "%8.3f ", time.Since(c.started).Seconds())
	fmt.Fprintf(c.file, format+"\n", args...)
}

// close kills the gateways that still run and removes the temporary folder.
func (c *run) close() {
	for _, g := range c.gateways {
		g.kill()
	}
	_ = c.file.Close()
	_ = os.RemoveAll(c.dir)
}

// place is where a gateway or a server stands.
type place struct{ zone, region string }

// gateway is one process of the project.
type gateway struct {
	id, address                string
	front, ready, peer         string
	settings                   map[string]any
	command                    *exec.Cmd
	ended                      chan struct{}
	settingsPath, logPath, cwd string
	program                    string
}

// ports are the ports of all gateways: front, ready, peer and the first and last internal one.
type ports struct{ front, ready, peer, first, last int }

// freePorts returns ports that are free on the loopback address at this moment.
func freePorts() (ports, error) {
	var all []int
	var held []net.Listener
	for len(all) < 5 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ports{}, err
		}
		held = append(held, l)
		all = append(all, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range held {
		_ = l.Close()
	}
	first, last := min(all[3], all[4]), max(all[3], all[4])
	return ports{front: all[0], ready: all[1], peer: all[2], first: first, last: last}, nil
}

// bounds are those of sites/brandstaetter-gateway.toml, under the names of the project's settings.
var bounds = map[string]any{
	"configuration_ms": 2000, "leaving_ms": 2000, "zone_out_ms": 5000, "stop_s": 6, "retry_share": 0.2,
	"retry_slack": 58, "retry_window_s": 10, "cold_slack": 5, "probes_per_second": 60,
}

// startGateway starts the program of the deploy file as gateway number n of the deployment.
func (c *run) startGateway(n int, at place, regions map[string]string, p ports, store string, seeds []string) (*gateway, error) {
	address := gatewayAddress(n)
	g := &gateway{
		id: fmt.Sprintf("front-%s-%d", at.zone, n), address: address, program: c.program,
		front: fmt.Sprintf("%s:%d", address, p.front), ready: fmt.Sprintf("%s:%d", address, p.ready), peer: fmt.Sprintf("%s:%d", address, p.peer),
	}
	g.settings = map[string]any{
		"host_id": g.id, "region": at.region, "availability_zone": at.zone, "regions": regions, "address": address,
		"listen": g.front, "ready_listen": g.ready, "peer_listen": g.peer, "seeds": seeds, "admin_ports": []int{p.first, p.last},
		"store_address": store, "history_s": 20, "processor": 0.32, "link_mbps": 1000.0, "bounds": bounds,
	}
	text, err := json.Marshal(g.settings)
	if err != nil {
		return nil, err
	}
	g.settingsPath = filepath.Join(c.dir, g.id+".json")
	g.logPath = filepath.Join(c.dir, g.id+".log")
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		g.logPath = filepath.Join(keep, g.id+".log")
	}
	if err := os.WriteFile(g.settingsPath, text, 0o600); err != nil {
		return nil, err
	}
	c.gateways = append(c.gateways, g)
	return g, g.start()
}

// gatewayAddress returns the loopback address of gateway number n.
func gatewayAddress(n int) string {
	return fmt.Sprintf("127.0.1.%d", n+1)
}

// start starts the process.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.command = exec.Command(g.program, "gateway")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POPLARHOOK_SETTINGS=" + g.settingsPath}
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return err
	}
	g.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(g.command, g.ended)
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

// isRunning reports whether the process has not ended.
func (g *gateway) isRunning() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// kill kills the process and waits for its end.
func (g *gateway) kill() {
	if g.command == nil || g.command.Process == nil || !g.isRunning() {
		return
	}
	g.signal(syscall.SIGKILL)
	<-g.ended
}

// awaitReady waits until all gateways answer that they are ready.
func (c *run) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	for _, g := range c.gateways {
		for {
			response, err := client.Get("http://" + g.ready + "/-/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %s is not ready", g.id)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
