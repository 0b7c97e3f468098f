package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// places are the zones of the small deployment and their regions.
var places = map[string]any{"rosenheim": "oberbayern", "fuerth": "franken", "kempten": "schwaben"}

var zoneNames = []string{"rosenheim", "fuerth", "kempten"}

// deployment is a small deployment: a store, servers and one gateway a zone.
type deployment struct {
	root     string
	folder   string
	rec      *record
	runs     *runs
	store    *store
	storeAt  string
	servers  []*server
	gateways []*gateway
	// memoryMB is the memory of the machines in the settings.
	memoryMB int
	// bounds replaces bounds of the settings.
	bounds map[string]any
	ports  []int
	// storeWays are the addresses by which single gateways reach the store, that of the store itself for the others.
	storeWays map[int]string
}

// errNotPlayed means that the case could not run.
var errNotPlayed = errors.New("the case could not run")

func newDeployment(root string, rec *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, folder: folder, rec: rec, runs: &runs{}, store: newStore(), storeAt: l.Addr().String(), memoryMB: 284, bounds: map[string]any{}}
	go func() { _ = http.Serve(l, d.store) }()
	return d, nil
}

// settings returns the fields of a gateway's settings, those of the small sites.
func (d *deployment) settings(index int, ports []int) fields {
	address := fmt.Sprintf("127.0.0.%d", 11+index)
	bounds := map[string]any{
		"stable_window_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
		"rollback_slack_ms": 250, "max_stretch_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 58,
		"warmup_factor": 1.5, "warmup_slack": 5, "evacuate_ms": 5000, "recover_s": 15, "probes_per_s": 60,
	}
	for name, value := range d.bounds {
		bounds[name] = value
	}
	storeAt := d.storeAt
	if way, found := d.storeWays[index]; found {
		storeAt = way
	}
	var seeds []string
	for i := range zoneNames {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:%d", 11+i, ports[2]))
	}
	return fields{
		"node_name": "front-" + zoneNames[index] + "-1", "region": places[zoneNames[index]], "zone": zoneNames[index], "zones": places,
		"ip": address, "internal_ports": []int{ports[3], ports[3] + 1}, "seeds": seeds,
		"listen": map[string]any{
			"front": fmt.Sprintf("%s:%d", address, ports[0]), "ready": fmt.Sprintf("%s:%d", address, ports[1]),
			"control": fmt.Sprintf("%s:%d", address, ports[2]),
		},
		"platform": map[string]any{"address": storeAt, "history_s": 20},
		"limits":   map[string]any{"cpu_share": 0.32, "link_mbps": 1000.0, "memory_mb": d.memoryMB, "max_fds": 4100},
		"bounds":   bounds,
	}
}

// writeSettings writes the settings file of a gateway as the platform does.
func (d *deployment) writeSettings(index int) error {
	template, err := os.ReadFile(filepath.Join(d.root, "deploy", "settings.json.tmpl"))
	if err != nil {
		return err
	}
	f := d.settings(index, d.ports)
	return os.WriteFile(d.gateways[index].settings, []byte(render(string(template), f)), 0o600)
}

// startGateways starts one gateway a zone and waits until all are ready.
func (d *deployment) startGateways() error {
	var err error
	if d.ports, err = freePorts(4); err != nil {
		return err
	}
	for i := range zoneNames {
		f := d.settings(i, d.ports)
		g := &gateway{
			name: f["node_name"].(string), front: f.lookup("listen.front").(string), ready: f.lookup("listen.ready").(string),
			settings: filepath.Join(d.folder, fmt.Sprintf("settings-%d.json", i)), log: filepath.Join(d.folder, fmt.Sprintf("gateway-%d.log", i)),
		}
		d.gateways = append(d.gateways, g)
		if err := d.writeSettings(i); err != nil {
			return err
		}
		if err := g.start(d.root); err != nil {
			return err
		}
	}
	return d.awaitReady(15*time.Second, d.gateways...)
}

// awaitReady waits until the gateways are ready.
func (d *deployment) awaitReady(limit time.Duration, gateways ...*gateway) error {
	deadline := time.Now().Add(limit)
	for _, g := range gateways {
		for !g.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errNotPlayed, describe(g))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// addServers adds servers of a service, one after the other in the zones, and writes their entries.
func (d *deployment) addServers(service string, n, slots int, work time.Duration) error {
	for i := range n {
		s := &server{id: fmt.Sprintf("i-%s%02d", service, i), service: service, zone: zoneNames[i%len(zoneNames)], slots: slots, work: work, rec: d.rec, runs: d.runs}
		if err := s.listen(); err != nil {
			return err
		}
		d.servers = append(d.servers, s)
		d.store.put("servers", s.id, s.entry(1))
	}
	return nil
}

// route is one route of a configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMS                         int
}

// configuration returns a configuration as the operator writes it.
func configuration(version int, routes []route, services []string, tenants any) map[string]any {
	rows := [][]any{}
	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeoutMS, 250, 1, r.service, 2, []string{}, nil})
	}
	serviceRows := [][]any{}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 220, "h1", false, 3.0, 7.1})
	}
	c := map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms", "priority", "service", "max_attempts", "allowed_regions", "traffic_split"},
			"rows":    rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "protocol", "tls", "warmup_s", "cold_per_s"},
			"rows":    serviceRows,
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	return c
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	for _, g := range d.gateways {
		g.kill()
	}
	_ = os.RemoveAll(d.folder)
}

// dial opens a connection to a gateway.
func dial(g *gateway) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return (&net.Dialer{}).DialContext(ctx, "tcp", g.front)
}
