package main

import (
	"bufio"
	"fmt"
	"io"
	"time"
)

// playSmuggle sends two requests on a kept connection; the body of the second one is a text that looks like requests. In
// the trouble the first one, in HTTP/1.0, declares chunks, which HTTP/1.0 does not know.
func playSmuggle(d *deployment, trouble bool) (string, error) {
	d.store.put("config", "main", configuration(7, []route{{"r-stock", shopHost, shopPrefix, "safe", "stock", 1000}}, []string{"stock"}, nil))
	if err := d.addServers("stock", 6, 2, 100*time.Millisecond); err != nil {
		return "", err
	}
	if err := d.startGateways(); err != nil {
		return "", err
	}
	if a := send(d.rec, d.gateways[0], ordinary("before")); a.status != 200 {
		return "", fmt.Errorf("%w: no answer before the disruption: %+v", errNotPlayed, a)
	}
	for i, g := range d.gateways {
		inner := []string{fmt.Sprintf("inner%d-a", i), fmt.Sprintf("inner%d-b", i), fmt.Sprintf("inner%d-c", i)}
		if err := sendNested(d.rec, g, i, inner, trouble); err != nil {
			return "", err
		}
		time.Sleep(300 * time.Millisecond)
		for _, id := range inner {
			if ran := d.runs.of(id); len(ran) > 0 {
				return fmt.Sprintf("UNASKED: server %s ran %s, which stood inside the body of another request", ran[0].server, id), nil
			}
		}
	}
	return "", nil
}

// sendNested sends the requests on one connection.
func sendNested(rec *record, g *gateway, n int, inner []string, trouble bool) error {
	conn, err := dial(g)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotPlayed, err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	reader := bufio.NewReader(conn)
	head := fmt.Sprintf("GET %s2f HTTP/1.0\r\nHost: %s\r\nRequest-Id: first%d\r\nDeadline-Ms: 1000\r\nConnection: keep-alive\r\n", shopPrefix, shopHost, n)
	if trouble {
		head += "Transfer-Encoding: chunked\r\n"
	}
	rec.add("client sends first%d to %s in HTTP/1.0, chunked: %v", n, g.name, trouble)
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return fmt.Errorf("%w: %w", errNotPlayed, err)
	}
	a := readAnswer(reader)
	rec.add("client gets %d for first%d, error %v", a.status, n, a.err)
	if a.err != nil {
		return nil
	}
	outer := ordinary(fmt.Sprintf("second%d", n))
	outer.method = "POST"
	for _, id := range inner {
		outer.body += ordinary(id).text()
	}
	rec.add("client sends second%d with a body of %d bytes, in which %v stand", n, len(outer.body), inner)
	if _, err := io.WriteString(conn, outer.text()); err != nil {
		return nil
	}
	a = readAnswer(reader)
	rec.add("client gets %d for second%d, error %v", a.status, n, a.err)
	return nil
}
