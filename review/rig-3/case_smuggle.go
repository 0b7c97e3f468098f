package main

import (
	"bufio"
	"fmt"
	"io"
	"time"
)

// playSmuggle sends two requests on a kept connection of each gateway; the body of the second one is a text that looks like
// requests. In the trouble the first one, in HTTP/1.0, declares chunks, which HTTP/1.0 does not know.
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
	var smuggled []string
	for i, g := range d.gateways {
		c, err := newNestedClient(d.rec, g, fmt.Sprintf("c%d", i), trouble)
		if err != nil {
			return "", err
		}
		err = c.sendBehindChunks()
		_ = c.conn.Close()
		if err != nil {
			return "", err
		}
		time.Sleep(300 * time.Millisecond)
		for _, id := range c.inner {
			if ran := d.runs.of(id); len(ran) > 0 {
				smuggled = append(smuggled, fmt.Sprintf("%s at %s", id, ran[0].server))
			}
		}
	}
	if len(smuggled) > 0 {
		return fmt.Sprintf("UNASKED: servers ran requests that stood inside the bodies of others: %v", smuggled), nil
	}
	return "", nil
}

// nestedClient is one connection on which a request is sent whose body looks like requests.
type nestedClient struct {
	rec     *record
	name    string
	inner   []string
	body    string
	trouble bool
	conn    io.ReadWriteCloser
	reader  *bufio.Reader
}

func newNestedClient(rec *record, g *gateway, name string, trouble bool) (*nestedClient, error) {
	conn, err := dial(g)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotPlayed, err)
	}
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	c := &nestedClient{rec: rec, name: name, trouble: trouble, conn: conn, reader: bufio.NewReader(conn)}
	for _, part := range []string{"a", "b", "c"} {
		id := name + "-inner-" + part
		c.inner = append(c.inner, id)
		c.body += ordinary(id).text()
	}
	rec.add("client opens connection %s to %s", name, g.name)
	return c, nil
}

// exchange sends a text and reads one answer.
func (c *nestedClient) exchange(what, text string) (answer, error) {
	c.rec.add("client sends on %s: %s", c.name, what)
	if _, err := io.WriteString(c.conn, text); err != nil {
		return answer{}, fmt.Errorf("%w: %w", errNotPlayed, err)
	}
	a := readAnswer(c.reader)
	c.rec.add("client gets on %s: status %d, error %v", c.name, a.status, a.err)
	return a, nil
}

func (c *nestedClient) outer() request {
	r := ordinary(c.name + "-outer")
	r.method, r.body = "POST", c.body
	return r
}

// sendBehindChunks sends a request in HTTP/1.0, in the trouble with Transfer-Encoding, and after its answer one with the
// body.
func (c *nestedClient) sendBehindChunks() error {
	head := fmt.Sprintf("GET %s2f HTTP/1.0\r\nHost: %s\r\nRequest-Id: %s-first\r\nDeadline-Ms: 1000\r\nConnection: keep-alive\r\n", shopPrefix, shopHost, c.name)
	if c.trouble {
		head += "Transfer-Encoding: chunked\r\n"
	}
	a, err := c.exchange(fmt.Sprintf("%s-first in HTTP/1.0, chunked: %v", c.name, c.trouble), head+"\r\n")
	if err != nil || a.err != nil {
		return err
	}
	r := c.outer()
	_, err = c.exchange(fmt.Sprintf("%s, in whose body %v stand", r.id, c.inner), r.text())
	return err
}
