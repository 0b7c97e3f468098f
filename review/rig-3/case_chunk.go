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

const (
	// faultEnds is how often the processes of a machine end by themselves in the rule, and faultMachines on how many
	// machines at least.
	faultEnds     = 3
	faultMachines = 2
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

// playChunk sends a safe request and, before it is answered, a second one in chunks on the same connection, three times to
// each gateway. In the trouble the first chunk of that one declares the largest size that 63 bits hold, and is never sent
// whole. Processes that end are started again.
func playChunk(d *deployment, trouble bool) (string, error) {
	d.store.put("config", "main", configuration(7, []route{{"r-stock", shopHost, shopPrefix, "safe", "stock", 1000}}, []string{"stock"}, nil))
	if err := d.addServers("stock", 6, 2, 300*time.Millisecond); err != nil {
		return "", err
	}
	if err := d.startGateways(); err != nil {
		return "", err
	}
	ends := make([]int, len(d.gateways))
	for round := range faultEnds {
		for i, g := range d.gateways {
			if a := send(d.rec, g, ordinary(fmt.Sprintf("before%d-%d", round, i))); a.status != 200 {
				return "", fmt.Errorf("%w: no answer before the disruption: %+v", errNotPlayed, a)
			}
			if err := sendChunkBehind(d.rec, g, trouble); err != nil {
				return "", err
			}
			time.Sleep(300 * time.Millisecond)
			outcome, ended := g.hasEnded()
			if !ended {
				continue
			}
			ends[i]++
			d.rec.add("%s has ended by itself: %s", describe(g), outcome)
			if ends[i] == 1 {
				for _, line := range g.trace(9) {
					d.rec.add("its output: %s", line)
				}
			}
			time.Sleep(restartDelay)
			if err := g.start(d.root); err != nil {
				return "", err
			}
			if err := d.awaitReady(5*time.Second, g); err != nil {
				return "", err
			}
		}
	}
	if broken := faultOf(ends); broken != "" {
		return broken + ", each time after one connection of a client", nil
	}
	for i, g := range d.gateways {
		if a := send(d.rec, g, ordinary(fmt.Sprintf("after%d", i))); a.status != 200 {
			return "", fmt.Errorf("%w: no answer at the end: %+v", errNotPlayed, a)
		}
	}
	return "", nil
}

// faultOf says how the rule on processes that end by themselves was broken, with the number of ends on each machine.
func faultOf(ends []int) string {
	machines := 0
	for _, n := range ends {
		if n >= faultEnds {
			machines++
		}
	}
	if machines < faultMachines {
		return ""
	}
	return fmt.Sprintf("Fault: processes ended %v times on the machines", ends)
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
