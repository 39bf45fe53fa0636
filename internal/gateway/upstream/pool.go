package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/responses"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// maxIdle is how long idle connections are kept. It is below the timeouts of targets, so
	// that a request seldom meets a connection that the target is closing.
	maxIdle = 3 * time.Second
	// maxFreshConnIdle replaces maxIdle for requests that can't be retried.
	maxFreshConnIdle = 500 * time.Millisecond
	// maxIdlePerTarget is the largest number of idle connections to a target.
	maxIdlePerTarget = 32
	// reapInterval is the time between checks for expired idle connections.
	reapInterval = time.Second
	// userTimeout is how long sent data may remain unacknowledged, and the keep-alive settings
	// control the probes of idle connections. Both detect hosts that became unreachable
	// without a reset.
	userTimeout       = 2 * time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT on Linux.
	tcpUserTimeout = 0x12
)

// Pool manages connections to targets. It is safe for concurrent use.
type Pool struct {
	// dialContext makes the connections that dial wraps.
	dialContext func(ctx context.Context, network, address string) (net.Conn, error)
	onDial      func()
	mu          sync.Mutex
	idle        map[netip.AddrPort][]*conn
	// idleLimits are the limits for targets that have announced their idle timeout.
	idleLimits map[netip.AddrPort]time.Duration
	closed     bool
}

// NewPool returns an empty pool. onDial is called for each new connection.
func NewPool(onDial func()) *Pool {
	return &Pool{
		dialContext: NewDialer().Dialer.DialContext,
		onDial:      onDial,
		idle:        map[netip.AddrPort][]*conn{},
		idleLimits:  map[netip.AddrPort]time.Duration{},
	}
}

// NewDialer returns a dialer whose connections fail when the remote host is unreachable.
func NewDialer() *responses.Dialer {
	return &responses.Dialer{Dialer: net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}}
}

// NewClient returns a client for control calls that rejects malformed responses.
func NewClient(transport *http.Transport) *http.Client {
	return &http.Client{Transport: responses.Checked(transport)}
}

// NewTransport returns a transport for control calls. It detects unreachable hosts and bounds the heads of
// responses.
func NewTransport() *http.Transport {
	return &http.Transport{DialContext: NewDialer().DialContext, DisableCompression: true, MaxResponseHeaderBytes: MaxHeadBytes}
}

// NewSingleUseTransport returns a transport for control calls that makes a connection for each of them. Responses
// do not name their calls: on a connection that has carried another call, a response that is sent twice is taken
// for the next one.
func NewSingleUseTransport() *http.Transport {
	transport := NewTransport()
	transport.DisableKeepAlives = true
	return transport
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// get returns an idle connection that is alive and may carry the request, or a new one. It also returns how many
// idle connections were passed over because they have carried the attempt.
func (p *Pool) get(ctx context.Context, address netip.AddrPort, req *Request) (c *conn, passedOver int, err error) {
	if req.Attempt == "" {
		c, err = p.dial(ctx, address)
		return c, 0, err
	}
	for {
		c, passedOver = p.takeIdle(address, req)
		if c == nil {
			c, err = p.dial(ctx, address)
			return c, passedOver, err
		}
		if c.alive() {
			return c, passedOver, nil
		}
		c.close()
	}
}

// takeIdle removes and returns the most recently used idle connection that has not carried the attempt, or nil. A
// target may send a response twice, and the ID in the copy of an earlier response to the attempt is the right one.
func (p *Pool) takeIdle(address netip.AddrPort, req *Request) (c *conn, passedOver int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.idleLimit(address)
	if req.FreshConn {
		limit = min(limit, maxFreshConnIdle)
	}
	list, wanted := p.idle[address], attemptOf(req.Attempt)
	repeated := -1
	for i, c := range slices.Backward(list) {
		if time.Since(c.idleSince) > limit {
			break
		}
		if c.attempts.contains(wanted) {
			repeated = i
			passedOver++
			continue
		}
		p.idle[address] = slices.Delete(list, i, i+1)
		return c, passedOver
	}
	if repeated >= 0 { // the new connection replaces it: repeated attempts do not add connections
		list[repeated].close()
		p.idle[address] = slices.Delete(list, repeated, repeated+1)
	}
	return nil, passedOver
}

func (p *Pool) idleLimit(address netip.AddrPort) time.Duration {
	if limit, ok := p.idleLimits[address]; ok {
		return min(limit, maxIdle)
	}
	return maxIdle
}

// SetIdleLimit sets the limit for a target that has announced its idle timeout. The limit is
// half of the timeout, which leaves time for clock differences and network delay.
func (p *Pool) SetIdleLimit(address netip.AddrPort, timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimits[address] = timeout / 2
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	dialed, err := p.dialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	p.onDial()
	c := responses.NewConn(dialed)
	input := &headReader{in: c}
	return &conn{pool: p, address: address, dialedAt: time.Now(), net: c, input: input, reader: bufio.NewReaderSize(input, bufferSize)}, nil
}

const (
	// refusedAttempts and refusedRetryDelay control how often a target is dialed again that
	// closed or reset a connection at once.
	refusedAttempts   = 3
	refusedRetryDelay = 5 * time.Millisecond
)

// ListenerState is the result of a probe of a target's address.
type ListenerState uint8

const (
	// ListenerUnknown means that the probe got no answer in time.
	ListenerUnknown ListenerState = iota
	// ListenerAccepts means that the host accepted a connection that stayed open.
	ListenerAccepts
	// ListenerRefuses means that the host is up but no process listens.
	ListenerRefuses
)

var listenerStateNames = map[ListenerState]string{ListenerUnknown: "unknown", ListenerAccepts: "accepts", ListenerRefuses: "refuses"}

// String returns the state's name.
func (s ListenerState) String() string { return listenerStateNames[s] }

// errClosedAtOnce is why the state of a listener is unknown whose connections were closed at once.
var errClosedAtOnce = errors.New("each connection was closed at once")

// ProbeListener returns whether a process listens at an address, and why this is unknown. A
// connection that stays open is added to the pool.
//
// An exiting process closes its connections and its listener one after the other. A connection
// that it accepts in between is closed a moment later, and one that is still in the listener's
// queue is reset when the listener closes, even before the dial returns. Dialing is repeated in
// both cases.
func (p *Pool) ProbeListener(ctx context.Context, address netip.AddrPort) (ListenerState, error) {
	for range refusedAttempts {
		c, err := p.dial(ctx, address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return ListenerRefuses, nil
		}
		if err != nil && !errors.Is(err, syscall.ECONNRESET) {
			return ListenerUnknown, err
		}
		inTime := sleep.For(ctx, refusedRetryDelay)
		if c != nil && c.alive() {
			p.put(c)
			return ListenerAccepts, nil
		}
		if c != nil {
			c.close()
		}
		if !inTime {
			return ListenerUnknown, context.Cause(ctx)
		}
	}
	return ListenerUnknown, errClosedAtOnce
}

// put adds a connection to the pool, or closes it if the pool is full or closed, or if the connection can't
// remember further attempts.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if p.closed || len(list) >= maxIdlePerTarget || c.attempts.isFull() {
		c.close()
		return
	}
	c.idleSince = time.Now()
	p.idle[c.address] = append(list, c)
}

// alive reports whether an idle connection is open and has no data to read. On a connection
// that the target has closed it would be unknown whether the next request ran, and data is a
// late response to an earlier request.
func (c *conn) alive() bool {
	raw, err := c.net.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// Reap periodically closes connections that were idle for too long. It closes all idle
// connections and returns when the context ends.
func (p *Pool) Reap(ctx context.Context) {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
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
			delete(p.idleLimits, address)
			continue
		}
		p.idle[address] = kept
	}
}

// CloseIdle closes all idle connections. Connections returned to the pool later are closed too.
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
