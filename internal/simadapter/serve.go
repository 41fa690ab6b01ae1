package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"sloehitch/internal/platform/settings"
	"sloehitch/logic"
)

// host is one instance with the events of the batch in hand.
type host struct {
	number  string
	server  *logic.Server
	events  []logic.Event
	touched bool
}

// session is the state of one connection to the simulator.
type session struct {
	hosts map[string]*host
	order []*host // hosts touched by the batch in hand, in order of first mention
	specs map[string]*settings.Vocabulary
	now   logic.Micros
	batch string
	open  bool
}

// Serve answers batches from r on w until r ends.
func Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<20)
	out := bufio.NewWriterSize(w, 1<<16)
	s := &session{hosts: map[string]*host{}, specs: map[string]*settings.Vocabulary{}}
	for number := 1; ; number++ {
		line, err := in.ReadString('\n')
		if err != nil && !(errors.Is(err, io.EOF) && line != "") {
			return s.end(err, number)
		}
		if line[len(line)-1] == '\n' {
			line = line[:len(line)-1]
		}
		if err := s.line(line, out); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
}

// end tells a clean end of input from one inside a batch.
func (s *session) end(err error, number int) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if s.open {
		return fmt.Errorf("line %d: input ends inside batch %s", number, s.batch)
	}
	return nil
}

func (s *session) line(line string, out *bufio.Writer) error {
	if line == "" {
		if s.open {
			return errors.New("empty line inside a batch")
		}
		return nil
	}
	f := fields{rest: line}
	switch name := f.next(); {
	case name == "MARK":
		return s.mark(&f)
	case !s.open:
		return fmt.Errorf("%q outside a batch", name)
	case name == "FLUSH":
		return s.flush(&f, out)
	default:
		return s.event(name, &f)
	}
}

func (s *session) mark(f *fields) error {
	if s.open {
		return errors.New("MARK inside a batch")
	}
	s.now = f.micros("clock")
	s.batch = f.word("batch number")
	s.open = true
	return f.done()
}

func (s *session) event(name string, f *fields) error {
	number := f.word("instance")
	if f.err != nil {
		return f.err
	}
	h := s.hosts[number]
	if name == "BEGIN" {
		return s.begin(number, f)
	}
	if name == "SHUTDOWN" {
		if h != nil {
			h.server, h.events = nil, nil
			delete(s.specs, number)
		}
		return f.done()
	}
	if h == nil || h.server == nil {
		return fmt.Errorf("%s for instance %s, which has not begun", name, number)
	}
	ev, err := parseEvent(name, f, s.specs[number])
	if err != nil {
		return err
	}
	s.touch(h)
	h.events = append(h.events, ev)
	return nil
}

func (s *session) begin(number string, f *fields) error {
	seed := f.unsigned("seed")
	cfg, vocab, err := parseSettings(f)
	if err != nil {
		return err
	}
	server, err := logic.New(cfg, seed)
	if err != nil {
		return err
	}
	h := s.hosts[number]
	if h == nil {
		h = &host{number: number}
		s.hosts[number] = h
	}
	h.server, h.events = server, nil
	s.specs[number] = vocab
	s.touch(h)
	return nil
}

func (s *session) touch(h *host) {
	if !h.touched {
		h.touched = true
		s.order = append(s.order, h)
	}
}

func (s *session) flush(f *fields, out *bufio.Writer) error {
	if err := f.done(); err != nil {
		return err
	}
	for _, h := range s.order {
		h.touched = false
		if h.server == nil {
			continue
		}
		for _, a := range h.server.Step(s.now, h.events) {
			writeAction(out, h.number, a)
		}
		h.events = h.events[:0]
	}
	s.order = s.order[:0]
	s.open = false
	fmt.Fprintf(out, "NEXT %s\n", s.batch)
	return out.Flush()
}
