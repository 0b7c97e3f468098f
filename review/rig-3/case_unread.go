package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// unreadClients is how many connections the clients open to one gateway, less than half of those that it accepts.
	unreadClients = 500
	// unreadRequests is how many requests each client sends without waiting for answers.
	unreadRequests = 30
	// unreadTime is how long the clients of one round stay.
	unreadTime = 15 * time.Second
	// pictureBytes is the size of an answer.
	pictureBytes = 60_000
	// memoryMB is the memory of the gateway's machine in the settings, that of the smallest machines of maua-gw.
	memoryMB = 184
	// segmentBytes is the largest segment that the clients accept, that of an ordinary network. That of the loopback
	// interface is 64 KiB.
	segmentBytes = 1400
)

// playUnread lets clients of two gateways send requests one behind the other, three times. In the trouble they do not read
// the answers. A process that takes more memory than its machine has is killed and started again, as the platform does.
func playUnread(d *deployment, trouble bool) (string, error) {
	d.store.put("config", "main", configuration(7, []route{{"r-stock", shopHost, shopPrefix, "safe", "stock", 4000}}, []string{"stock"}, nil))
	if err := d.addServers("stock", 12, 4, 4*time.Millisecond); err != nil {
		return "", err
	}
	for _, s := range d.servers {
		s.answerBytes = pictureBytes
	}
	d.memoryMB = memoryMB
	if err := d.startGateways(); err != nil {
		return "", err
	}
	targets := d.gateways[:faultMachines]
	ends := make([]int, len(targets))
	for round := range faultEnds {
		var attacks sync.WaitGroup
		for i, g := range targets {
			if a := send(d.rec, g, ordinary(fmt.Sprintf("before%d-%d", round, i))); a.status != 200 {
				return "", fmt.Errorf("%w: no answer before the disruption: %+v", errNotPlayed, a)
			}
		}
		for i, g := range targets {
			attacks.Go(func() {
				if d.playUnreadAt(g, round, trouble) {
					ends[i]++
				}
			})
		}
		attacks.Wait()
		time.Sleep(restartDelay)
		for _, g := range targets {
			if _, ended := g.hasEnded(); !ended {
				continue
			}
			if err := g.start(d.root); err != nil {
				return "", err
			}
			if err := d.awaitReady(5*time.Second, g); err != nil {
				return "", err
			}
		}
	}
	if broken := faultOf(ends); broken != "" {
		return broken + fmt.Sprintf(" over the %d MB of memory that these have", memoryMB), nil
	}
	return "", nil
}

// playUnreadAt lets the clients of one gateway send, and reports whether its process had to be killed for its memory.
func (d *deployment) playUnreadAt(g *gateway, round int, trouble bool) (killed bool) {
	var read atomic.Int64
	var clients sync.WaitGroup
	release := make(chan struct{})
	clients.Go(func() {
		for i := range unreadClients {
			select {
			case <-release:
				return
			case <-time.After(10 * time.Millisecond):
			}
			clients.Go(func() { unreadClient(d.rec, g, fmt.Sprintf("%d-%s-%d", round, g.name, i), trouble, release, &read) })
		}
	})
	peak := 0
	for end := time.Now().Add(unreadTime); time.Now().Before(end) && !killed; time.Sleep(100 * time.Millisecond) {
		if outcome, ended := g.hasEnded(); ended {
			d.rec.add("%s has ended by itself: %s", describe(g), outcome)
			killed = true
			break
		}
		if peak = max(peak, g.anonymousMB()); peak > memoryMB {
			d.rec.add("%s takes %d MB, and its machine has %d: the platform kills it", describe(g), peak, memoryMB)
			g.kill()
			killed = true
		}
	}
	d.rec.add("round %d: peak of the anonymous memory of %s: %d MB; %d answers were read", round, g.name, peak, read.Load())
	close(release)
	clients.Wait()
	return killed
}

// anonymousMB returns the anonymous memory of the process in megabytes.
func (g *gateway) anonymousMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb * 1024 / 1_000_000
		}
	}
	return 0
}

// unreadClient sends its requests and reads the answers, in the trouble only after the release.
func unreadClient(rec *record, g *gateway, name string, trouble bool, release <-chan struct{}, read *atomic.Int64) {
	dialer := net.Dialer{Timeout: 2 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		})
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", g.front)
	if err != nil {
		rec.add("client %s gets no connection: %v", name, err)
		return
	}
	defer conn.Close()
	var text strings.Builder
	for i := range unreadRequests {
		r := ordinary(fmt.Sprintf("u%s-%d", name, i))
		r.deadlineMS = 4000
		text.WriteString(r.text())
	}
	_ = conn.SetDeadline(time.Now().Add(60 * time.Second))
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return
	}
	if trouble {
		<-release
		return
	}
	reader := bufio.NewReader(conn)
	for range unreadRequests {
		if a := readAnswer(reader); a.err != nil {
			return
		}
		read.Add(1)
	}
	<-release
}
