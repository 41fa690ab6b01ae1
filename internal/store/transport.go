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
	onProgress  func(name string, m quorum.Progress)
	emptyFolder func() bool // this member has joined and has nothing yet; nil: it did not join
	incoming    chan raft.RPC
	done        chan struct{}
	voteMu      sync.Mutex // guards blank
	stopOnce    sync.Once
	closeOnce   sync.Once
}

// StopWaiting ends all waiting for members that can't be reached; it is to be called before raft is ended.
func (t *transport) StopWaiting() { t.stopOnce.Do(func() { close(t.done) }) }

// listen opens the link at an address. admit is asked before each connection; find tells where a member is, by its name.
func listen(address string, timeout time.Duration, most int, log *slog.Logger, find func(raft.ServerID) (raft.ServerAddress, error),
	admit func(raft.ServerAddress, time.Duration) error, noted func(string, quorum.Progress)) (*transport, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &transport{onProgress: noted, incoming: make(chan raft.RPC), done: make(chan struct{})}
	t.NetworkTransport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: &streamLayer{ln, admit, t.done}, ServerAddressProvider: addressProvider(find), MaxPool: most, Timeout: timeout,
		Logger: hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: slog.NewLogLogger(log.Handler(), slog.LevelWarn).Writer()}),
	})
	go t.forwardRequests()
	return t, nil
}

// forwardRequests hands on what other members ask, and notes how far they are by it: a leader has on its disk what it sends, and a candidate its
// term.
func (t *transport) forwardRequests() {
	for {
		select {
		case rpc := <-t.NetworkTransport.Consumer():
			switch c := rpc.Command.(type) {
			case *raft.AppendEntriesRequest:
				m := quorum.Progress{Term: c.Term}
				if n := len(c.Entries); n > 0 {
					m.EntryTerm, m.Index = c.Entries[n-1].Term, c.Entries[n-1].Index
				}
				t.noteProgress(c.ID, m)
			case *raft.InstallSnapshotRequest:
				t.noteProgress(c.ID, quorum.Progress{Term: c.Term, EntryTerm: c.LastLogTerm, Index: c.LastLogIndex})
			case *raft.RequestVoteRequest:
				t.noteProgress(c.ID, quorum.Progress{Term: c.Term})
				if t.withholdsVotes() {
					rpc.Respond(&raft.RequestVoteResponse{}, nil)
					continue
				}
			case *raft.RequestPreVoteRequest:
				if t.withholdsVotes() {
					rpc.Respond(&raft.RequestPreVoteResponse{}, nil)
					continue
				}
			}
			select {
			case t.incoming <- rpc:
			case <-t.done:
				return
			}
		case <-t.done:
			return
		}
	}
}

// withholdsVotes says whether this member grants no vote. One that has joined with a new folder may have had a vote under its name, and those that
// have not heard of its removal count it still; until it has what came after that, it can't tell who is behind.
func (t *transport) withholdsVotes() bool {
	t.voteMu.Lock()
	defer t.voteMu.Unlock()
	if t.emptyFolder != nil && !t.emptyFolder() {
		t.emptyFolder = nil
	}
	return t.emptyFolder != nil
}

// withholdVotesWhile has the member grant no vote while it is blank.
func (t *transport) withholdVotesWhile(blank func() bool) {
	t.voteMu.Lock()
	defer t.voteMu.Unlock()
	t.emptyFolder = blank
}

func (t *transport) noteProgress(id []byte, m quorum.Progress) {
	if len(id) > 0 {
		t.onProgress(string(id), m)
	}
}

// Consumer implements raft.Transport.
func (t *transport) Consumer() <-chan raft.RPC { return t.incoming }

// Close ends the link; it may be called twice.
func (t *transport) Close() (err error) {
	t.StopWaiting()
	t.closeOnce.Do(func() {
		err = t.NetworkTransport.Close()
	})
	return err
}

// streamLayer is the connections below.
type streamLayer struct {
	net.Listener
	verify func(raft.ServerAddress, time.Duration) error
	done   <-chan struct{}
}

// dialRetryDelay is the pause between two tries to reach a member.
const dialRetryDelay = 50 * time.Millisecond

// Dial connects to a member that is who it should be. It tries for as long as it may: raft doubles its pause, up to 10 s, with each
// connection that fails, so that a member which was away for seconds would be left waiting for as long again once it is back.
func (l *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	for end := time.Now().Add(timeout); ; {
		left := time.Until(end)
		err := l.verify(address, left)
		if err == nil {
			var conn net.Conn
			if conn, err = net.DialTimeout("tcp", string(address), left); err == nil {
				return conn, nil
			}
		}
		if time.Until(end) < dialRetryDelay {
			return nil, err
		}
		select {
		case <-time.After(dialRetryDelay):
		case <-l.done:
			return nil, err
		}
	}
}

type addressProvider func(raft.ServerID) (raft.ServerAddress, error)

// ServerAddr implements raft.ServerAddressProvider.
func (f addressProvider) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) { return f(id) }

// acknowledged is what an answer to entries stands for.
func acknowledged(args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) quorum.Progress {
	m := quorum.Progress{Term: resp.Term}
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
		t.onProgress(string(id), acknowledged(args, resp))
	}
	return err
}

// RequestVote implements raft.Transport.
func (t *transport) RequestVote(id raft.ServerID, target raft.ServerAddress, args *raft.RequestVoteRequest, resp *raft.RequestVoteResponse) error {
	err := t.NetworkTransport.RequestVote(id, target, args, resp)
	if err == nil {
		t.onProgress(string(id), quorum.Progress{Term: resp.Term})
	}
	return err
}

// InstallSnapshot implements raft.Transport.
func (t *transport) InstallSnapshot(id raft.ServerID, target raft.ServerAddress, args *raft.InstallSnapshotRequest, resp *raft.InstallSnapshotResponse, data io.Reader) error {
	err := t.NetworkTransport.InstallSnapshot(id, target, args, resp, data)
	if err == nil {
		m := quorum.Progress{Term: resp.Term}
		if resp.Success {
			m.EntryTerm, m.Index = args.LastLogTerm, args.LastLogIndex
		}
		t.onProgress(string(id), m)
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
	go p.forwardResponses(func(m quorum.Progress) { t.onProgress(string(id), m) })
	return p, nil
}

// pipeline passes answers on and notes them.
type pipeline struct {
	raft.AppendPipeline
	out       chan raft.AppendFuture
	done      chan struct{}
	closeOnce sync.Once
}

func (p *pipeline) forwardResponses(noted func(quorum.Progress)) {
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
	p.closeOnce.Do(func() { close(p.done) })
	return p.AppendPipeline.Close()
}

// errWrongPeer says that what answers at a member's address is not that member.
var errWrongPeer = errors.New("no connection to a stranger")

func wrongPeerError(address raft.ServerAddress, format string, args ...any) error {
	return fmt.Errorf("%w at %s: %s", errWrongPeer, address, fmt.Sprintf(format, args...))
}
