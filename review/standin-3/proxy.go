package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on. It can make all that are open go silent for good.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	silent   chan struct{}
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, silent: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			silent := p.silent
			p.mu.Unlock()
			go p.pass(conn, silent)
		}
	}()
	return p, nil
}

func (p *proxy) goSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

func (p *proxy) pass(caller net.Conn, silent chan struct{}) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	oneWay := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			select {
			case <-silent:
				_, _ = io.Copy(io.Discard, from)
				return
			default:
			}
			if n > 0 {
				if _, werr := to.Write(buffer[:n]); werr != nil {
					err = werr
				}
			}
			if err != nil {
				_ = to.Close()
				_ = from.Close()
				return
			}
		}
	}
	go oneWay(server, caller)
	oneWay(caller, server)
}
