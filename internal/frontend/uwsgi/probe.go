package uwsgi

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/platform/endpoint"
)

// maintain expires queued runs and probes ejected servers until the pool is closed.
func (p *Pool) maintain() {
	ticker := time.NewTicker(p.opts.Limits.PoolInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.closed:
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		now := time.Now()
		p.deliver(p.balancer.Tick(now))
		due := p.balancer.DueProbes(now)
		endpoints := make([]endpoint.Endpoint, len(due))
		for i, server := range due {
			endpoints[i] = p.endpoints[server]
		}
		p.mu.Unlock()
		for i, server := range due {
			go p.probe(server, endpoints[i])
		}
	}
}

// probe sends a ping to an ejected server and reports the result.
func (p *Pool) probe(server string, e endpoint.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), p.opts.Limits.DialTimeout)
	defer cancel()
	err := p.ping(ctx, e)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.balancer.ReportProbe(time.Now(), server, err == nil))
}

// ping returns nil if a server answers a ping, or closes the connection without an answer: such a server may not implement pings,
// but is up. A server that accepts the connection and sends nothing fails the ping.
func (p *Pool) ping(ctx context.Context, e endpoint.Endpoint) error {
	conn, err := e.Dial(ctx, p.opts.Keys, p.opts.ServerName)
	if err != nil {
		return err
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	if err = conn.SetDeadline(deadline); err == nil {
		if _, err = conn.Write(packet.Header{Modifier1: packet.Ping}.Append(nil)); err == nil {
			_, err = io.ReadFull(conn, make([]byte, packet.HeaderSize))
		}
	}
	if closedByServer(err) {
		return nil
	}
	return err
}

// closedByServer reports whether an error means that the server closed the connection.
func closedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
