// Package simadapter runs servers of package logic for the simulator: it reads batches of messages, one message per
// line, and writes the actions of each batch. It makes no decisions of its own.
//
// A batch carries a time. Every instance that the batch mentions takes one step at that time, in the order of first
// mention.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"sloehitch/internal/platform/settings"
	"sloehitch/logic"
)

// inputBufferSize is the size of the read buffer, in bytes.
const inputBufferSize = 1 << 20

// Errors in the sequence of messages.
var (
	errEmptyLine   = errors.New("empty line inside a batch")
	errNestedBatch = errors.New(messageBatchBegin + " inside a batch")
)

// instance is one server with its events in the current batch.
type instance struct {
	id        string
	server    *logic.Server // nil after the instance has ended
	names     *settings.NameIndex
	events    []logic.Event
	mentioned bool // mentioned in the current batch
}

// session is the state of one connection to the simulator.
type session struct {
	instances map[string]*instance
	mentioned []*instance // mentioned in the current batch, in order of first mention
	now       logic.Micros
	batch     string
	inBatch   bool
	output    []byte // of the current batch; the next one reuses the memory
}

// Serve reads batches from r and writes their actions to w until r ends. It returns an error with the line number of an
// invalid message, and nil if r ends outside a batch.
func Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, inputBufferSize)
	s := &session{instances: map[string]*instance{}}
	for number := 1; ; number++ {
		line, err := in.ReadString('\n')
		if err != nil && (!errors.Is(err, io.EOF) || line == "") {
			return s.endOfInput(err, number)
		}
		if err := s.handleLine(strings.TrimSuffix(line, "\n"), w); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
}

// endOfInput returns the error for the end of the input: nil at EOF outside a batch.
func (s *session) endOfInput(err error, number int) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if s.inBatch {
		return fmt.Errorf("line %d: input ends inside batch %s", number, s.batch)
	}
	return nil
}

func (s *session) handleLine(line string, w io.Writer) error {
	if line == "" {
		if s.inBatch {
			return errEmptyLine
		}
		return nil
	}
	f := lineFields{rest: line}
	switch message := f.next(); {
	case message == messageBatchBegin:
		return s.beginBatch(&f)
	case !s.inBatch:
		return fmt.Errorf("message %q outside a batch", message)
	case message == messageBatchEnd:
		return s.endBatch(&f, w)
	default:
		return s.handleMessage(message, &f)
	}
}

func (s *session) beginBatch(f *lineFields) error {
	if s.inBatch {
		return errNestedBatch
	}
	s.now = f.micros("clock")
	s.batch = f.required("batch number")
	s.inBatch = true
	return f.done()
}

func (s *session) handleMessage(message string, f *lineFields) error {
	id := f.required("instance")
	if f.err != nil {
		return f.err
	}
	i := s.instances[id]
	switch {
	case message == messageInstanceBegin:
		return s.startInstance(id, f)
	case message == messageInstanceEnd:
		if i != nil {
			i.server, i.names, i.events = nil, nil, nil
		}
		return f.done()
	case i == nil || i.server == nil:
		return fmt.Errorf("%s for instance %s, which is not running", message, id)
	}
	ev, err := parseEvent(message, f, i.names)
	if err != nil {
		return err
	}
	s.markMentioned(i)
	i.events = append(i.events, ev)
	return nil
}

// startInstance starts a server. It replaces a server that runs with the same ID.
func (s *session) startInstance(id string, f *lineFields) error {
	seed := f.unsigned("seed")
	cfg, names, err := parseSettings(f)
	if err != nil {
		return err
	}
	server, err := logic.New(cfg, seed)
	if err != nil {
		return err
	}
	i := s.instances[id]
	if i == nil {
		i = &instance{id: id}
		s.instances[id] = i
	}
	i.server, i.names, i.events = server, names, nil
	s.markMentioned(i)
	return nil
}

func (s *session) markMentioned(i *instance) {
	if !i.mentioned {
		i.mentioned = true
		s.mentioned = append(s.mentioned, i)
	}
}

// endBatch steps the instances mentioned in the batch and writes their actions.
func (s *session) endBatch(f *lineFields, w io.Writer) error {
	if err := f.done(); err != nil {
		return err
	}
	s.output = s.output[:0]
	for _, i := range s.mentioned {
		i.mentioned = false
		if i.server == nil {
			continue
		}
		for _, a := range i.server.Step(s.now, i.events) {
			s.output = appendAction(s.output, i.id, a)
		}
		i.events = i.events[:0]
	}
	s.mentioned = s.mentioned[:0]
	s.inBatch = false
	s.output = fmt.Appendf(s.output, "%s %s\n", batchAnswered, s.batch)
	_, err := w.Write(s.output)
	return err
}
