package sitebuilder

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// linkTable simulates the network between failure domains: the delay between two
// of them, and partitions.
type linkTable struct {
	delay func(from, to string) time.Duration // one-way

	mu          sync.Mutex
	domains     map[string]string // by address
	partitioned func(from, to string) bool
	lost        map[string]bool // VMs without links to upstreams
}

func newLinkTable(delay func(from, to string) time.Duration) *linkTable {
	if delay == nil {
		delay = func(string, string) time.Duration { return 0 }
	}
	return &linkTable{delay: delay, domains: map[string]string{}, partitioned: func(string, string) bool { return false }, lost: map[string]bool{}}
}

func (t *linkTable) add(address, domain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domains[address] = domain
}

func (t *linkTable) setPartition(partitioned func(from, to string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.partitioned = partitioned
}

func (t *linkTable) domain(address string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.domains[address]
}

func (t *linkTable) isPartitioned(from, to string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partitioned(from, to)
}

// LoseLinks makes upstreams refuse all new connections of a VM, or ends that.
func (s *Site) LoseLinks(vm string, lost bool) {
	s.links.mu.Lock()
	defer s.links.mu.Unlock()
	s.links.lost[vm] = lost
}

type dialFunc = func(context.Context, string, string) (net.Conn, error)

// unlessLost returns a dial function that fails while a VM has lost its links.
func (t *linkTable) unlessLost(vm string, dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		t.mu.Lock()
		lost := t.lost[vm]
		t.mu.Unlock()
		if lost {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		return dial(ctx, network, address)
	}
}

const dialTimeout = time.Second

// dialFrom returns the dial function of the VMs in a failure domain.
func (t *linkTable) dialFrom(from string) dialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to := t.domain(address)
		if t.isPartitioned(from, to) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: context.DeadlineExceeded}
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if from == to {
			return conn, nil // no delay or partition within a domain
		}
		delay := t.delay(from, to)
		return newLinkConn(conn, delay, func() bool { return t.isPartitioned(from, to) }), nil
	}
}

// packet is the data of one read or write in transit.
type packet struct {
	data    []byte
	arrival time.Time // when it arrives, unless the link is partitioned then
	err     error     // the error of the read, returned after the data
}

// linkConn is a connection over a link with a delay that can be partitioned.
// Bytes written during a partition are sent when it heals, as those in a real
// connection's send buffer are.
type linkConn struct {
	net.Conn
	delay       time.Duration
	partitioned func() bool
	out         chan packet
	in          chan packet
	unread      []byte // received and not yet read
	done        chan struct{}
	closeOnce   sync.Once
	group       sync.WaitGroup
	readErr     error // the connection's read error
}

const (
	linkQueueLength     = 1024     // packets
	linkBufferBytes     = 16 << 10 // bytes
	partitionPollPeriod = 5 * time.Millisecond
)

func newLinkConn(conn net.Conn, delay time.Duration, partitioned func() bool) net.Conn {
	c := &linkConn{
		Conn: conn, delay: delay, partitioned: partitioned,
		out: make(chan packet, linkQueueLength), in: make(chan packet, linkQueueLength),
		done: make(chan struct{}),
	}
	c.group.Go(c.pumpOut)
	c.group.Go(c.pumpIn)
	return c
}

// waitDelivered waits until a packet has crossed the link. It returns false if
// the connection is closed before.
func (c *linkConn) waitDelivered(p packet) bool {
	wait := time.Until(p.arrival)
	for wait > 0 || c.partitioned() {
		timer := time.NewTimer(max(wait, partitionPollPeriod))
		select {
		case <-timer.C:
		case <-c.done:
			timer.Stop()
			return false
		}
		wait = time.Until(p.arrival)
	}
	return true
}

func (c *linkConn) pumpOut() {
	for {
		select {
		case p := <-c.out:
			if !c.waitDelivered(p) {
				return
			}
			if _, err := c.Conn.Write(p.data); err != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

func (c *linkConn) pumpIn() {
	for {
		buffer := make([]byte, linkBufferBytes)
		n, err := c.Conn.Read(buffer)
		select {
		case c.in <- packet{data: buffer[:n], arrival: time.Now().Add(c.delay), err: err}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write queues bytes to be sent after the link's delay. It blocks while the queue
// is full.
func (c *linkConn) Write(data []byte) (int, error) {
	p := packet{data: append([]byte(nil), data...), arrival: time.Now().Add(c.delay)}
	select {
	case c.out <- p:
		return len(data), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Read returns bytes that have crossed the link, and blocks until there are some.
func (c *linkConn) Read(data []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		select {
		case p := <-c.in:
			if !c.waitDelivered(p) {
				return 0, net.ErrClosed
			}
			c.unread, c.readErr = p.data, p.err
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(data, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close closes the connection at once and discards queued bytes.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// Partition partitions the network: connections between two failure domains carry no
// data, and new ones fail, while the function returns true for the two.
func (s *Site) Partition(partitioned func(from, to string) bool) { s.links.setPartition(partitioned) }

// HealPartition ends all partitions.
func (s *Site) HealPartition() { s.links.setPartition(func(string, string) bool { return false }) }
