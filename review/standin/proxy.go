package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to an address. While it is cut, nothing passes in either direction: bytes wait, as they do behind a partition.
type proxy struct {
	target string

	mu   sync.Mutex
	open chan struct{}
}

// newProxy serves a proxy on an address until the process ends.
func newProxy(address, target string) *proxy {
	p := &proxy{target: target, open: make(chan struct{})}
	close(p.open)
	listener, err := net.Listen("tcp", address)
	check(err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// cut stops all bytes, heal lets them pass again.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

// wait returns when bytes may pass.
func (p *proxy) wait() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

func (p *proxy) serve(conn net.Conn) {
	p.wait()
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = conn.Close()
		return
	}
	go p.pass(target, conn)
	p.pass(conn, target)
}

func (p *proxy) pass(to, from net.Conn) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
