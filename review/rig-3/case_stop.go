package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// graceS is the time between SIGTERM and SIGKILL, that of the small deployments, and longGraceS the one before it.
	graceS     = 6
	longGraceS = 20
	// stopClients is how many connections are open at the stop.
	stopClients = 4
	// stopWork is the work of a long request, and firstWork that of the one before it.
	stopWork  = 3500 * time.Millisecond
	firstWork = 1200 * time.Millisecond
)

// playStop stops a gateway while clients send requests one behind the other. In the trouble its time to stop was made
// shorter before, with a change of the settings files and SIGHUP; otherwise the short time stands there from the start.
func playStop(d *deployment, trouble bool) (string, error) {
	d.store.put("config", "main", configuration(7, []route{
		{"r-herd", herdHost, herdPrefix, "safe", "herdbook", 4000}, {"r-map", mapHost, mapPrefix, "safe", "mapvault", 5000},
	}, []string{"herdbook", "mapvault"}, nil))
	if err := d.addServers("herdbook", 6, 4, firstWork); err != nil {
		return "", err
	}
	if err := d.addServers("mapvault", 6, 4, stopWork); err != nil {
		return "", err
	}
	d.bounds["grace_s"] = graceS
	if trouble {
		d.bounds["grace_s"] = longGraceS
	}
	if err := d.startGateways(); err != nil {
		return "", err
	}
	target := d.gateways[0]
	if trouble {
		d.bounds["grace_s"] = graceS
		if err := d.writeSettings(0); err != nil {
			return "", err
		}
		target.signal(syscall.SIGHUP)
		d.rec.add("settings of %s changed: grace_s %d, was %d; SIGHUP", target.name, graceS, longGraceS)
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	lost := make([]string, stopClients)
	for i := range stopClients {
		conn, err := dial(target)
		if err != nil {
			return "", fmt.Errorf("%w: %w", errNotPlayed, err)
		}
		clients.Go(func() {
			defer conn.Close()
			lost[i] = stopClient(d, conn, target, i)
		})
	}
	// The clients have sent a first request each, so that their connections are kept ones.
	time.Sleep(1500 * time.Millisecond)
	d.rec.add("SIGTERM to %s", target.name)
	target.signal(syscall.SIGTERM)
	select {
	case <-target.exited:
	case <-time.After(graceS * time.Second):
		d.rec.add("SIGKILL to %s after %d s", target.name, graceS)
		target.kill()
	}
	outcome, _ := target.hasEnded()
	d.rec.add("%s has ended: %s", target.name, outcome)
	clients.Wait()
	var all []string
	for _, one := range lost {
		if one != "" {
			all = append(all, one)
		}
	}
	if len(all) > 0 {
		return fmt.Sprintf("LOST: requests that were sent over 3 s after SIGTERM were read and passed on, and their connections ended without an answer: %v", all), nil
	}
	return "", nil
}

// stopClient sends a request before the stop, one 2.3 s after its start, and a long one 3.2 s after its start behind that.
// It returns the id of the long one if that ran and got no whole answer.
func stopClient(d *deployment, conn net.Conn, g *gateway, n int) string {
	started := time.Now()
	stop := started.Add(1500 * time.Millisecond)
	_ = conn.SetDeadline(started.Add(20 * time.Second))
	reader := bufio.NewReader(conn)
	id := func(what string) string { return fmt.Sprintf("%s%d", what, n) }
	sendOn := func(r request) bool {
		d.rec.add("client sends %s to %s, %.1f s after SIGTERM", r.id, g.name, time.Since(stop).Seconds())
		_, err := io.WriteString(conn, r.text())
		return err == nil
	}
	readOn := func(id string) bool {
		a := readAnswer(reader)
		d.rec.add("client gets for %s: status %d, error %v", id, a.status, a.err)
		return a.err == nil
	}
	lookup := request{method: "GET", host: herdHost, path: herdPrefix + "5a", deadlineMS: 4000}
	lookup.id = id("kept")
	if !sendOn(lookup) || !readOn(lookup.id) {
		return ""
	}
	time.Sleep(time.Until(stop.Add(2300 * time.Millisecond)))
	lookup.id = id("first")
	if !sendOn(lookup) {
		return ""
	}
	time.Sleep(time.Until(stop.Add(3200 * time.Millisecond)))
	long := request{method: "GET", host: mapHost, path: mapPrefix + "77", id: id("long"), deadlineMS: 5000}
	if !sendOn(long) || !readOn(lookup.id) {
		return ""
	}
	if readOn(long.id) || len(d.runs.of(long.id)) == 0 {
		return ""
	}
	return long.id
}
