package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to an address until it is cut; then those that are open end, and new ones get no answer.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	isCut bool
	conns []net.Conn
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns = append(p.conns, from)
		isCut := p.isCut
		p.mu.Unlock()
		if isCut {
			continue
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, to)
		p.mu.Unlock()
		go pass(from, to)
		go pass(to, from)
	}
}

func pass(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// cut cuts the way to the target for good.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}
