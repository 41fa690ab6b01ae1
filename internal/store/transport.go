package store

import (
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"sloehitch/internal/store/quorum"
)

// transport is raft's connection to the other members. It reports the progress of each, and connects only to verified
// peers. It implements raft.Transport.
type transport struct {
	*raft.NetworkTransport
	onProgress func(name string, p quorum.Progress)
	incoming   chan raft.RPC
	done       chan struct{}
	stopOnce   sync.Once
	closeOnce  sync.Once

	voteMu       sync.Mutex
	dataDirEmpty func() bool // reports whether the joining member's data directory is still empty; nil: votes are not withheld
}

// transportOptions configure a transport.
type transportOptions struct {
	address    string                                          // address to listen on
	timeout    time.Duration                                   // timeout of one request to another member
	maxPool    int                                             // most idle connections to one member
	logger     *slog.Logger                                    // logger for raft's own lines
	addressOf  func(raft.ServerID) (raft.ServerAddress, error) // returns a member's address
	verify     func(raft.ServerAddress, time.Duration) error   // called before each connection
	onProgress func(name string, p quorum.Progress)            // must not block
}

// listen opens a transport and starts to forward requests.
func listen(o transportOptions) (*transport, error) {
	listener, err := net.Listen("tcp", o.address)
	if err != nil {
		return nil, err
	}
	t := &transport{onProgress: o.onProgress, incoming: make(chan raft.RPC), done: make(chan struct{})}
	t.NetworkTransport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:                &streamLayer{listener, o.verify, t.done},
		ServerAddressProvider: addressProvider(o.addressOf),
		MaxPool:               o.maxPool,
		Timeout:               o.timeout,
		Logger: hclog.New(&hclog.LoggerOptions{
			Level:  hclog.Warn,
			Output: slog.NewLogLogger(o.logger.Handler(), slog.LevelWarn).Writer(),
		}),
	})
	go t.forwardRequests()
	return t, nil
}

// addressProvider implements raft.ServerAddressProvider.
type addressProvider func(raft.ServerID) (raft.ServerAddress, error)

// ServerAddr implements raft.ServerAddressProvider.
func (p addressProvider) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) { return p(id) }

// StopWaiting ends all attempts to connect to other members. It must be called before raft is shut down, and may be
// called repeatedly.
func (t *transport) StopWaiting() { t.stopOnce.Do(func() { close(t.done) }) }

// Close closes the transport. It may be called repeatedly.
func (t *transport) Close() (err error) {
	t.StopWaiting()
	t.closeOnce.Do(func() { err = t.NetworkTransport.Close() })
	return err
}

// Consumer implements raft.Transport.
func (t *transport) Consumer() <-chan raft.RPC { return t.incoming }

// forwardRequests forwards the requests of other members to raft, and reports the senders' progress. While votes are
// withheld, it rejects vote requests itself.
func (t *transport) forwardRequests() {
	for {
		select {
		case rpc := <-t.NetworkTransport.Consumer():
			t.reportProgress(rpc.Command)
			if rejection := t.rejectedVote(rpc.Command); rejection != nil {
				rpc.Respond(rejection, nil)
				continue
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

// reportProgress reports the progress that a request implies for its sender: a leader has stored the entries that it
// sends, and a candidate its term.
func (t *transport) reportProgress(command any) {
	var sender []byte
	var progress quorum.Progress
	switch c := command.(type) {
	case *raft.AppendEntriesRequest:
		sender, progress.Term = c.ID, c.Term
		if n := len(c.Entries); n > 0 {
			progress.EntryTerm, progress.Index = c.Entries[n-1].Term, c.Entries[n-1].Index
		}
	case *raft.InstallSnapshotRequest:
		sender, progress = c.ID, quorum.Progress{Term: c.Term, EntryTerm: c.LastLogTerm, Index: c.LastLogIndex}
	case *raft.RequestVoteRequest:
		sender, progress.Term = c.ID, c.Term
	}
	if len(sender) > 0 {
		t.onProgress(string(sender), progress)
	}
}

// rejectedVote returns the negative response to a vote request while votes are withheld, and nil otherwise.
func (t *transport) rejectedVote(command any) any {
	switch command.(type) {
	case *raft.RequestVoteRequest:
		if t.withholdsVotes() {
			return &raft.RequestVoteResponse{}
		}
	case *raft.RequestPreVoteRequest:
		if t.withholdsVotes() {
			return &raft.RequestPreVoteResponse{}
		}
	}
	return nil
}

// withholdVotesWhile makes this member grant no votes while dataDirEmpty returns true.
func (t *transport) withholdVotesWhile(dataDirEmpty func() bool) {
	t.voteMu.Lock()
	defer t.voteMu.Unlock()
	t.dataDirEmpty = dataDirEmpty
}

// withholdsVotes reports whether this member grants no votes. A member that joins with an empty data directory may have
// had a vote under its name before, which members that have not learned of its removal still count. Until it has the
// entries committed after the removal, it can't tell which candidate lags behind.
func (t *transport) withholdsVotes() bool {
	t.voteMu.Lock()
	defer t.voteMu.Unlock()
	if t.dataDirEmpty != nil && !t.dataDirEmpty() {
		t.dataDirEmpty = nil
	}
	return t.dataDirEmpty != nil
}

// acknowledged returns the progress that a response to entries implies for the responder.
func acknowledged(request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) quorum.Progress {
	p := quorum.Progress{Term: response.Term}
	if !response.Success {
		return p
	}
	p.EntryTerm, p.Index = request.PrevLogTerm, request.PrevLogEntry
	if n := len(request.Entries); n > 0 {
		p.EntryTerm, p.Index = request.Entries[n-1].Term, request.Entries[n-1].Index
	}
	return p
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
		p := quorum.Progress{Term: resp.Term}
		if resp.Success {
			p.EntryTerm, p.Index = args.LastLogTerm, args.LastLogIndex
		}
		t.onProgress(string(id), p)
	}
	return err
}

// AppendEntriesPipeline implements raft.Transport.
func (t *transport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	inner, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	p := &pipeline{AppendPipeline: inner, responses: make(chan raft.AppendFuture), done: make(chan struct{})}
	go p.forwardResponses(func(progress quorum.Progress) { t.onProgress(string(id), progress) })
	return p, nil
}

// pipeline forwards the responses to entries, and reports the progress that they imply.
type pipeline struct {
	raft.AppendPipeline
	responses chan raft.AppendFuture
	done      chan struct{}
	closeOnce sync.Once
}

func (p *pipeline) forwardResponses(onProgress func(quorum.Progress)) {
	for {
		select {
		case f := <-p.AppendPipeline.Consumer():
			if f.Error() == nil {
				onProgress(acknowledged(f.Request(), f.Response()))
			}
			select {
			case p.responses <- f:
			case <-p.done:
				return
			}
		case <-p.done:
			return
		}
	}
}

// Consumer implements raft.AppendPipeline.
func (p *pipeline) Consumer() <-chan raft.AppendFuture { return p.responses }

// Close implements raft.AppendPipeline.
func (p *pipeline) Close() error {
	p.closeOnce.Do(func() { close(p.done) })
	return p.AppendPipeline.Close()
}
