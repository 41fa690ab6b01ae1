package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"sloehitch/internal/platform/settings"
	"sloehitch/logic"
)

// instance is one instance with the events of the batch in hand.
type instance struct {
	id      string
	server  *logic.Server
	events  []logic.Event
	touched bool
}

// session is the state of one connection to the simulator.
type session struct {
	instances map[string]*instance
	touched   []*instance // hosts touched by the batch in hand, in order of first mention
	names     map[string]*settings.NameIndex
	now       logic.Micros
	batch     string
	inBatch   bool
}

// Serve answers batches from r on w until r ends.
func Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<20)
	out := bufio.NewWriterSize(w, 1<<16)
	s := &session{instances: map[string]*instance{}, names: map[string]*settings.NameIndex{}}
	for number := 1; ; number++ {
		line, err := in.ReadString('\n')
		if err != nil && !(errors.Is(err, io.EOF) && line != "") {
			return s.endOfInput(err, number)
		}
		if line[len(line)-1] == '\n' {
			line = line[:len(line)-1]
		}
		if err := s.handleLine(line, out); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
}

// endOfInput tells a clean end of input from one inside a batch.
func (s *session) endOfInput(err error, number int) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if s.inBatch {
		return fmt.Errorf("line %d: input ends inside batch %s", number, s.batch)
	}
	return nil
}

func (s *session) handleLine(line string, out *bufio.Writer) error {
	if line == "" {
		if s.inBatch {
			return errors.New("empty line inside a batch")
		}
		return nil
	}
	f := lineFields{rest: line}
	switch name := f.next(); {
	case name == "MARK":
		return s.beginBatch(&f)
	case !s.inBatch:
		return fmt.Errorf("%q outside a batch", name)
	case name == "FLUSH":
		return s.endBatch(&f, out)
	default:
		return s.handleMessage(name, &f)
	}
}

func (s *session) beginBatch(f *lineFields) error {
	if s.inBatch {
		return errors.New("MARK inside a batch")
	}
	s.now = f.micros("clock")
	s.batch = f.required("batch number")
	s.inBatch = true
	return f.done()
}

func (s *session) handleMessage(name string, f *lineFields) error {
	number := f.required("instance")
	if f.err != nil {
		return f.err
	}
	h := s.instances[number]
	if name == "BEGIN" {
		return s.startInstance(number, f)
	}
	if name == "SHUTDOWN" {
		if h != nil {
			h.server, h.events = nil, nil
			delete(s.names, number)
		}
		return f.done()
	}
	if h == nil || h.server == nil {
		return fmt.Errorf("%s for instance %s, which has not begun", name, number)
	}
	ev, err := parseEvent(name, f, s.names[number])
	if err != nil {
		return err
	}
	s.touch(h)
	h.events = append(h.events, ev)
	return nil
}

func (s *session) startInstance(number string, f *lineFields) error {
	seed := f.unsigned("seed")
	cfg, vocab, err := parseSettings(f)
	if err != nil {
		return err
	}
	server, err := logic.New(cfg, seed)
	if err != nil {
		return err
	}
	h := s.instances[number]
	if h == nil {
		h = &instance{id: number}
		s.instances[number] = h
	}
	h.server, h.events = server, nil
	s.names[number] = vocab
	s.touch(h)
	return nil
}

func (s *session) touch(h *instance) {
	if !h.touched {
		h.touched = true
		s.touched = append(s.touched, h)
	}
}

func (s *session) endBatch(f *lineFields, out *bufio.Writer) error {
	if err := f.done(); err != nil {
		return err
	}
	for _, h := range s.touched {
		h.touched = false
		if h.server == nil {
			continue
		}
		for _, a := range h.server.Step(s.now, h.events) {
			writeAction(out, h.id, a)
		}
		h.events = h.events[:0]
	}
	s.touched = s.touched[:0]
	s.inBatch = false
	fmt.Fprintf(out, "NEXT %s\n", s.batch)
	return out.Flush()
}
