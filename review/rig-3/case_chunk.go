package main

import (
	"bufio"
	"fmt"
	"io"
	"time"
)

const (
	shopHost   = "hulo84.example"
	shopPrefix = "/leny950/"
)

// playChunk sends a safe request and, before it is answered, a second one in chunks on the same connection. In the trouble
// the first chunk of that one declares the largest size that 63 bits hold, and is never sent whole.
func playChunk(d *deployment, trouble bool) (string, error) {
	d.store.put("config", "main", configuration(7, []route{{"r-stock", shopHost, shopPrefix, "safe", "stock", 1000}}, []string{"stock"}, nil))
	if err := d.addServers("stock", 6, 2, 300*time.Millisecond); err != nil {
		return "", err
	}
	if err := d.startGateways(); err != nil {
		return "", err
	}
	for i, g := range d.gateways {
		if a := send(d.rec, g, ordinary(fmt.Sprintf("before%d", i))); a.status != 200 {
			return "", fmt.Errorf("%w: no answer before the disruption: %+v", errNotPlayed, a)
		}
	}
	target := d.gateways[0]
	if err := sendChunkBehind(d.rec, target, trouble); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	for _, g := range d.gateways {
		if outcome, ended := g.hasEnded(); ended {
			d.rec.add("%s has ended: %s", describe(g), outcome)
			for _, line := range g.trace(9) {
				d.rec.add("its output: %s", line)
			}
			return fmt.Sprintf("Fault: %s ended by itself (%s) after one connection of a client", describe(g), outcome), nil
		}
	}
	for i, g := range d.gateways {
		if a := send(d.rec, g, ordinary(fmt.Sprintf("after%d", i))); a.status != 200 {
			return fmt.Sprintf("Fault: %s does not answer any more: %+v", describe(g), a), nil
		}
	}
	return "", nil
}

func ordinary(id string) request {
	return request{method: "GET", host: shopHost, path: shopPrefix + "2f", id: id, deadlineMS: 1000}
}

// sendChunkBehind sends the two requests on one connection and reads what is answered.
func sendChunkBehind(rec *record, g *gateway, trouble bool) error {
	conn, err := dial(g)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotPlayed, err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	first := ordinary("first")
	if _, err := io.WriteString(conn, first.text()); err != nil {
		return fmt.Errorf("%w: %w", errNotPlayed, err)
	}
	rec.add("client sends %s to %s", first.id, g.name)
	time.Sleep(100 * time.Millisecond)
	size := "5"
	if trouble {
		size = "7fffffffffffffff"
	}
	second := ordinary("second")
	second.headers = []string{"Transfer-Encoding: chunked"}
	text := second.text() + size + "\r\nhello\r\n"
	if !trouble {
		text += "0\r\n\r\n"
	}
	rec.add("client sends %s behind it, first chunk of size %s", second.id, size)
	if _, err := io.WriteString(conn, text); err != nil {
		rec.add("writing failed: %v", err)
		return nil
	}
	reader := bufio.NewReader(conn)
	for _, id := range []string{first.id, second.id} {
		a := readAnswer(reader)
		rec.add("client gets for %s: status %d, error %v", id, a.status, a.err)
		if a.err != nil {
			return nil
		}
	}
	return nil
}
