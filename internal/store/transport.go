package store

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"sloehitch/internal/store/quorum"
)

// transport is raft's link to the other members. It notes how far each has answered for, and connects to none that is of another
// store or goes by another name.
type transport struct {
	*raft.NetworkTransport
	noted  func(name string, m quorum.Mark)
	blank  func() bool // this member has joined and has nothing yet; nil: it did not join
	in     chan raft.RPC
	done   chan struct{}
	votes  sync.Mutex // guards blank
	left   sync.Once
	closed sync.Once
}

// Leave ends all waiting for members that can't be reached; it is to be called before raft is ended.
func (t *transport) Leave() { t.left.Do(func() { close(t.done) }) }

// listen opens the link at an address. admit is asked before each connection; find tells where a member is, by its name.
func listen(address string, timeout time.Duration, most int, log *slog.Logger, find func(raft.ServerID) (raft.ServerAddress, error),
	admit func(raft.ServerAddress, time.Duration) error, noted func(string, quorum.Mark)) (*transport, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &transport{noted: noted, in: make(chan raft.RPC), done: make(chan struct{})}
	t.NetworkTransport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: &layer{ln, admit, t.done}, ServerAddressProvider: finder(find), MaxPool: most, Timeout: timeout,
		Logger: hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: slog.NewLogLogger(log.Handler(), slog.LevelWarn).Writer()}),
	})
	go t.pass()
	return t, nil
}

// pass hands on what other members ask, and notes how far they are by it: a leader has on its disk what it sends, and a candidate its
// term.
func (t *transport) pass() {
	for {
		select {
		case rpc := <-t.NetworkTransport.Consumer():
			switch c := rpc.Command.(type) {
			case *raft.AppendEntriesRequest:
				m := quorum.Mark{Term: c.Term}
				if n := len(c.Entries); n > 0 {
					m.EntryTerm, m.Index = c.Entries[n-1].Term, c.Entries[n-1].Index
				}
				t.asked(c.ID, m)
			case *raft.InstallSnapshotRequest:
				t.asked(c.ID, quorum.Mark{Term: c.Term, EntryTerm: c.LastLogTerm, Index: c.LastLogIndex})
			case *raft.RequestVoteRequest:
				t.asked(c.ID, quorum.Mark{Term: c.Term})
				if t.mute() {
					rpc.Respond(&raft.RequestVoteResponse{}, nil)
					continue
				}
			case *raft.RequestPreVoteRequest:
				if t.mute() {
					rpc.Respond(&raft.RequestPreVoteResponse{}, nil)
					continue
				}
			}
			select {
			case t.in <- rpc:
			case <-t.done:
				return
			}
		case <-t.done:
			return
		}
	}
}

// mute says whether this member grants no vote. One that has joined with a new folder may have had a vote under its name, and those that
// have not heard of its removal count it still; until it has what came after that, it can't tell who is behind.
func (t *transport) mute() bool {
	t.votes.Lock()
	defer t.votes.Unlock()
	if t.blank != nil && !t.blank() {
		t.blank = nil
	}
	return t.blank != nil
}

// joins has the member grant no vote while it is blank.
func (t *transport) joins(blank func() bool) {
	t.votes.Lock()
	defer t.votes.Unlock()
	t.blank = blank
}

func (t *transport) asked(id []byte, m quorum.Mark) {
	if len(id) > 0 {
		t.noted(string(id), m)
	}
}

// Consumer implements raft.Transport.
func (t *transport) Consumer() <-chan raft.RPC { return t.in }

// Close ends the link; it may be called twice.
func (t *transport) Close() (err error) {
	t.Leave()
	t.closed.Do(func() {
		err = t.NetworkTransport.Close()
	})
	return err
}

// layer is the connections below.
type layer struct {
	net.Listener
	admit func(raft.ServerAddress, time.Duration) error
	done  <-chan struct{}
}

// between is the pause between two tries to reach a member.
const between = 50 * time.Millisecond

// Dial connects to a member that is who it should be. It tries for as long as it may: raft doubles its pause, up to 10 s, with each
// connection that fails, so that a member which was away for seconds would be left waiting for as long again once it is back.
func (l *layer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	for end := time.Now().Add(timeout); ; {
		left := time.Until(end)
		err := l.admit(address, left)
		if err == nil {
			var conn net.Conn
			if conn, err = net.DialTimeout("tcp", string(address), left); err == nil {
				return conn, nil
			}
		}
		if time.Until(end) < between {
			return nil, err
		}
		select {
		case <-time.After(between):
		case <-l.done:
			return nil, err
		}
	}
}

type finder func(raft.ServerID) (raft.ServerAddress, error)

// ServerAddr implements raft.ServerAddressProvider.
func (f finder) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) { return f(id) }

// acknowledged is what an answer to entries stands for.
func acknowledged(args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) quorum.Mark {
	m := quorum.Mark{Term: resp.Term}
	if !resp.Success {
		return m
	}
	m.EntryTerm, m.Index = args.PrevLogTerm, args.PrevLogEntry
	if n := len(args.Entries); n > 0 {
		m.EntryTerm, m.Index = args.Entries[n-1].Term, args.Entries[n-1].Index
	}
	return m
}

// AppendEntries implements raft.Transport.
func (t *transport) AppendEntries(id raft.ServerID, target raft.ServerAddress, args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) error {
	err := t.NetworkTransport.AppendEntries(id, target, args, resp)
	if err == nil {
		t.noted(string(id), acknowledged(args, resp))
	}
	return err
}

// RequestVote implements raft.Transport.
func (t *transport) RequestVote(id raft.ServerID, target raft.ServerAddress, args *raft.RequestVoteRequest, resp *raft.RequestVoteResponse) error {
	err := t.NetworkTransport.RequestVote(id, target, args, resp)
	if err == nil {
		t.noted(string(id), quorum.Mark{Term: resp.Term})
	}
	return err
}

// InstallSnapshot implements raft.Transport.
func (t *transport) InstallSnapshot(id raft.ServerID, target raft.ServerAddress, args *raft.InstallSnapshotRequest, resp *raft.InstallSnapshotResponse, data io.Reader) error {
	err := t.NetworkTransport.InstallSnapshot(id, target, args, resp, data)
	if err == nil {
		m := quorum.Mark{Term: resp.Term}
		if resp.Success {
			m.EntryTerm, m.Index = args.LastLogTerm, args.LastLogIndex
		}
		t.noted(string(id), m)
	}
	return err
}

// AppendEntriesPipeline implements raft.Transport.
func (t *transport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	below, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	p := &pipeline{AppendPipeline: below, out: make(chan raft.AppendFuture), done: make(chan struct{})}
	go p.pass(func(m quorum.Mark) { t.noted(string(id), m) })
	return p, nil
}

// pipeline passes answers on and notes them.
type pipeline struct {
	raft.AppendPipeline
	out    chan raft.AppendFuture
	done   chan struct{}
	closed sync.Once
}

func (p *pipeline) pass(noted func(quorum.Mark)) {
	for {
		select {
		case f := <-p.AppendPipeline.Consumer():
			if f.Error() == nil {
				noted(acknowledged(f.Request(), f.Response()))
			}
			select {
			case p.out <- f:
			case <-p.done:
				return
			}
		case <-p.done:
			return
		}
	}
}

// Consumer implements raft.AppendPipeline.
func (p *pipeline) Consumer() <-chan raft.AppendFuture { return p.out }

// Close implements raft.AppendPipeline.
func (p *pipeline) Close() error {
	p.closed.Do(func() { close(p.done) })
	return p.AppendPipeline.Close()
}

// errStranger says that what answers at a member's address is not that member.
var errStranger = errors.New("no connection to a stranger")

func stranger(address raft.ServerAddress, format string, args ...any) error {
	return fmt.Errorf("%w at %s: %s", errStranger, address, fmt.Sprintf(format, args...))
}
