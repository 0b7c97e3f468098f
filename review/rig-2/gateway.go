package main

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Gateway is one entry process, started with the command of the deploy file.
type Gateway struct {
	Name, Region, Zone string
	Front, Ready, Peer string
	settings           string
	storeAddress       string
	processor, link    float64
	dir                string
	admin              int
	process            *exec.Cmd
	ended              chan struct{}
}

// Fleet is a deployment of gateways beside one store.
type Fleet struct {
	dir      string
	store    *Store
	bounds   map[string]any
	memoryMB int
	regions  map[string]string
	record   *Record
	gateways []*Gateway
}

// nextPort is the port that is tried next. It is below the range from which the system takes the ports of connections, so
// that no connection takes a port before its gateway listens.
var nextPort = 12000 + rand.IntN(15000)

// freePorts returns different free loopback ports.
func freePorts(n int) []int {
	var ports []int
	for len(ports) < n {
		nextPort++
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(nextPort))
		if err != nil {
			continue
		}
		l.Close()
		ports = append(ports, nextPort)
	}
	return ports
}

// Add describes a further gateway, which is not started yet.
func (f *Fleet) Add(name, zone string) *Gateway {
	p := freePorts(4)
	at := func(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }
	g := &Gateway{Name: name, Zone: zone, Region: f.regions[zone], Front: at(p[0]), Ready: at(p[1]), Peer: at(p[2]), admin: p[3], dir: f.dir, processor: 0.32, link: 1000}
	f.gateways = append(f.gateways, g)
	return g
}

// Start writes the settings of the gateway, in the form of the deploy file's template, and starts it.
func (f *Fleet) Start(g *Gateway) {
	var seeds []string
	for _, other := range f.gateways[:min(3, len(f.gateways))] {
		seeds = append(seeds, other.Peer)
	}
	settings := map[string]any{
		"host_id": g.Name, "region": g.Region, "availability_zone": g.Zone, "regions": f.regions, "address": "127.0.0.1",
		"listen": g.Front, "ready_listen": g.Ready, "peer_listen": g.Peer, "seeds": seeds,
		"admin_ports": []int{g.admin, g.admin + 1}, "store_address": cmp.Or(g.storeAddress, f.store.Address()), "history_s": 20,
		"processor": g.processor, "link_mbps": g.link, "memory_mb": f.memoryMB, "max_descriptors": 4100,
		"admission": map[string]any{"by_cost": true}, "bounds": f.bounds,
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	check(err)
	g.settings = filepath.Join(f.dir, g.Name+".json")
	check(os.WriteFile(g.settings, text, 0o600))
	g.run()
	f.record.Line("gateway %s started, pid %d", g.Name, g.process.Process.Pid)
}

// run starts the process with the command of the deploy file: target/poplarhook gateway.
func (g *Gateway) run() {
	g.process = exec.Command("target/poplarhook", "gateway")
	g.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POPLARHOOK_SETTINGS=" + g.settings}
	log, err := os.OpenFile(filepath.Join(g.dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	g.process.Stdout, g.process.Stderr = log, log
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(g.process.Start())
	g.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait()
		log.Close()
		close(ended)
	}(g.process, g.ended)
}

// Kill ends the process with SIGKILL.
func (g *Gateway) Kill() {
	if g.process == nil {
		return
	}
	_ = g.process.Process.Kill()
	<-g.ended
}

// Alive reports whether the process still runs.
func (g *Gateway) Alive() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// IsReady asks the gateway for its readiness, as the platform does.
func (g *Gateway) IsReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.Ready + "/-/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all given gateways are ready.
func AwaitReady(limit time.Duration, gateways ...*Gateway) bool {
	deadline := time.Now().Add(limit)
	for _, g := range gateways {
		for !g.IsReady() {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// StopAll ends all gateways.
func (f *Fleet) StopAll() {
	for _, g := range f.gateways {
		g.Kill()
	}
}
