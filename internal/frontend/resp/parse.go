package resp

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// message is one array from a balancer.
type message struct {
	verb string
	tag  string
	do   do
}

// do is what DO asks for.
type do struct {
	class, req, owner, opkey, subject string
	stamp                             time.Time // when it came to the machine, by the wall clock of who sent it
	via                               int
	wait                              time.Duration // from arrived on; 0: not told
	resent                            bool
	work                              time.Duration
	need                              float64
	level                             float64
	body                              []byte
}

// errNoTag is a message that no answer can name.
var errNoTag = errors.New("no tag")

// parse reads an array. With an error and a tag, an answer can still name the request.
func parse(args [][]byte, mostBody, mostFields int) (message, error) {
	if len(args) < 2 || !isTag(string(args[1])) {
		return message{}, errNoTag
	}
	m := message{verb: string(args[0]), tag: string(args[1])}
	switch {
	case (m.verb == "UNDO" || m.verb == "PING") && len(args) <= 3:
		return m, nil
	case m.verb != "DO":
		return m, fmt.Errorf("unknown message %.20q of %d parts", m.verb, len(args))
	case len(args) < 4 || len(args) > 5 || len(args[2]) == 0:
		return m, fmt.Errorf("DO of %d parts", len(args))
	case len(args[3]) > mostFields:
		return m, errors.New("too many fields")
	}
	m.do.class = string(args[2])
	if len(args) == 5 {
		m.do.body = args[4]
	}
	if len(m.do.body) > mostBody {
		return m, errors.New("body too long")
	}
	return m, m.do.fields(string(args[3]))
}

// isTag accepts decimal numbers from 1 up.
func isTag(s string) bool {
	n, err := strconv.ParseUint(s, 10, 63)
	return err == nil && n > 0 && s[0] != '0'
}

// fields reads the list of name=value pairs; names that are not known are passed over.
func (d *do) fields(list string) error {
	for pair := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return fmt.Errorf("bad field %.40q", pair)
		}
		if err := d.field(name, value); err != nil {
			return fmt.Errorf("field %s: %w", name, err)
		}
	}
	if d.req == "" || d.stamp.IsZero() || d.need == 0 {
		return errors.New("req, ts or need is missing")
	}
	return nil
}

func (d *do) field(name, value string) error {
	var err error
	switch name {
	case "req":
		if len(value) != 16 || strings.Trim(value, "0123456789abcdefABCDEF") != "" {
			return fmt.Errorf("%.40q is not 16 hex digits", value)
		}
		d.req = value
	case "ts":
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms <= 0 || ms > 1<<50 {
			return fmt.Errorf("bad time %.40q", value)
		}
		d.stamp = time.UnixMilli(ms)
	case "via":
		n, err := strconv.ParseUint(value, 10, 30)
		d.via = int(n)
		return err
	case "timeout":
		ms, err := number(value, 1e9)
		// One whose time is over as it comes has told its wait all the same.
		d.wait = max(time.Microsecond, time.Duration(ms*float64(time.Millisecond)))
		return err
	case "owner":
		d.owner = value
	case "resent":
		if d.resent = value == "1"; !d.resent {
			return fmt.Errorf("%.40q is not 1", value)
		}
	case "ms":
		ms, err := number(value, 1e7)
		d.work = time.Duration(ms * float64(time.Millisecond))
		return err
	case "need":
		if d.need, err = number(value, 2000); err == nil && d.need == 0 {
			err = errors.New("0")
		}
	case "level":
		d.level, err = number(value, 1)
	case "opkey":
		if value == "" || len(value) > 64 {
			return fmt.Errorf("bad key %.40q", value)
		}
		d.opkey = value
	case "subject":
		d.subject = value
	}
	return err
}

// number reads a number from 0 up to just under the given one.
func number(s string, under float64) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || v < 0 || v >= under {
		return 0, fmt.Errorf("bad number %.40q", s)
	}
	return v, nil
}
