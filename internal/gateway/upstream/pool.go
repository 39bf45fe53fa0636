package upstream

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// maxIdle is how long a connection is kept idle. It is below the timeouts
	// that targets state, so that a request and a target's close seldom cross.
	maxIdle = 3 * time.Second
	// maxFreshIdle is the same for requests that cannot be repeated.
	maxFreshIdle = 500 * time.Millisecond
	// maxIdlePerTarget bounds the connections kept to one target.
	maxIdlePerTarget = 32
	// reapPeriod is how often idle connections are looked through.
	reapPeriod = time.Second
	// userTimeout is how long sent bytes may stay unacknowledged, and keepAlive
	// how often an idle connection is probed. Both find a connection that went
	// silent without a reset: its host is dark or cut off.
	userTimeout       = 2 * time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// tcpUserTimeout is the socket option's number on Linux.
	tcpUserTimeout = 0x12
)

// Pool keeps connections to targets. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	opened func()
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	// tell of each target how long it keeps idle connections.
	limits map[netip.AddrPort]time.Duration
	closed bool
}

// NewPool returns an empty pool. opened is told of each new connection.
func NewPool(opened func()) *Pool {
	return &Pool{
		dialer: NewDialer(),
		opened: opened,
		idle:   map[netip.AddrPort][]*conn{},
		limits: map[netip.AddrPort]time.Duration{},
	}
}

// NewDialer returns a dialer whose connections find out by themselves that
// their other end has gone silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}

// get returns a kept connection that is alive, or a new one.
func (p *Pool) get(ctx context.Context, address netip.AddrPort, fresh bool) (*conn, error) {
	for {
		c := p.take(address, fresh)
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.alive() {
			return c, nil
		}
		c.close()
	}
}

// take removes the connection that was idle for the shortest time.
func (p *Pool) take(address netip.AddrPort, fresh bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	limit := p.idleLimit(address)
	if fresh {
		limit = min(limit, maxFreshIdle)
	}
	if time.Since(last.idleSince) > limit {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return last
}

func (p *Pool) idleLimit(address netip.AddrPort) time.Duration {
	if limit, ok := p.limits[address]; ok {
		return min(limit, maxIdle)
	}
	return maxIdle
}

// LimitIdle notes how long a target says that it keeps idle connections. Half
// of it is used: the target's clock and the way there take their part.
func (p *Pool) SetIdleLimit(address netip.AddrPort, timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits[address] = timeout / 2
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	c, err := p.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	p.opened()
	return &conn{pool: p, address: address, net: c, reader: bufio.NewReaderSize(c, bufferSize)}, nil
}

const (
	// refuseTries and refusePause are how often, and after which time, a target is asked
	// again that took a connection and closed it at once.
	refuseTries = 3
	refusePause = 5 * time.Millisecond
)

// Refuses reports whether the host at an address answers that no process listens there. A
// connection that is made and stays is kept for the next request.
//
// The failure guarded against: a process that ends closes its connections and its listener
// one after the other. A connection that is made in between is closed a moment later.
func (p *Pool) RefusesConnections(ctx context.Context, address netip.AddrPort) bool {
	for range refuseTries {
		c, err := p.dial(ctx, address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		if !sleep.For(ctx, refusePause) || c.alive() {
			p.put(c)
			return false
		}
		c.close()
	}
	return false
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if p.closed || len(list) >= maxIdlePerTarget {
		c.close()
		return
	}
	c.idleSince = time.Now()
	p.idle[c.address] = append(list, c)
}

// alive reports whether an idle connection is open and has nothing to read.
// The failures guarded against are a target that closed it, which would make
// the next request's fate unknown, and a second answer, which would be taken
// for the next request's.
func (c *conn) alive() bool {
	raw, err := c.net.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Reap closes connections that were idle for too long, once in each period,
// until the context ends.
func (p *Pool) Reap(ctx context.Context) {
	tick := time.NewTicker(reapPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.reap()
		case <-ctx.Done():
			p.CloseIdle()
			return
		}
	}
}

func (p *Pool) reap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		limit := p.idleLimit(address)
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) > limit {
				c.close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			delete(p.limits, address)
			continue
		}
		p.idle[address] = kept
	}
}

// CloseIdle closes all kept connections and keeps no further ones.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			c.close()
		}
	}
	clear(p.idle)
}
