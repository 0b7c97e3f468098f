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
	// pictureBytes is the size of an answer.
	pictureBytes = 60_000
	// memoryMB is the memory of the gateway's machine in the settings, that of the smallest machines of maua-gw.
	memoryMB = 184
	// segmentBytes is the largest segment that the clients accept, that of an ordinary network. That of the loopback
	// interface is 64 KiB.
	segmentBytes = 1400
)

// playUnread lets clients of one gateway send requests one behind the other. In the trouble they do not read the answers.
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
	target := d.gateways[0]
	if a := send(d.rec, target, ordinary("before")); a.status != 200 {
		return "", fmt.Errorf("%w: no answer before the disruption: %+v", errNotPlayed, a)
	}
	var read atomic.Int64
	var clients sync.WaitGroup
	release := make(chan struct{})
	for i := range unreadClients {
		clients.Go(func() { unreadClient(d.rec, target, i, trouble, release, &read) })
		time.Sleep(10 * time.Millisecond)
	}
	peak, broken := 0, ""
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && broken == ""; time.Sleep(100 * time.Millisecond) {
		if outcome, ended := target.hasEnded(); ended {
			broken = fmt.Sprintf("Fault: %s ended by itself: %s", describe(target), outcome)
			break
		}
		if peak = max(peak, target.anonymousMB()); peak > memoryMB {
			broken = fmt.Sprintf("Fault: the process of %s takes %d MB of memory, and its machine has %d", describe(target), peak, memoryMB)
		}
	}
	d.rec.add("peak of the anonymous memory of %s: %d MB; %d answers were read", target.name, peak, read.Load())
	a := send(d.rec, target, ordinary("after"))
	if broken == "" && a.status != 200 {
		broken = fmt.Sprintf("Fault: an ordinary request at %s is not served: %+v", describe(target), a)
	}
	close(release)
	clients.Wait()
	return broken, nil
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
func unreadClient(rec *record, g *gateway, n int, trouble bool, release <-chan struct{}, read *atomic.Int64) {
	dialer := net.Dialer{Timeout: 2 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		})
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", g.front)
	if err != nil {
		rec.add("client %d gets no connection: %v", n, err)
		return
	}
	defer conn.Close()
	var text strings.Builder
	for i := range unreadRequests {
		r := ordinary(fmt.Sprintf("u%d-%d", n, i))
		r.deadlineMS = 4000
		text.WriteString(r.text())
	}
	_ = conn.SetDeadline(time.Now().Add(60 * time.Second))
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return
	}
	if n%100 == 0 {
		rec.add("client %d has sent %d requests to %s; it reads the answers: %v", n, unreadRequests, g.name, !trouble)
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
