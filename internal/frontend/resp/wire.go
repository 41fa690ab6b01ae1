package resp

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"sloehitch/internal/node"
)

// The balancers' protocol consists of RESP arrays of bulk strings. Its words and field names are used in this
// file only.

// message is one array from a balancer: *submitMessage, *cancelMessage, *pingMessage or *unknownMessage.
type message interface{ messageTag() string }

// tag identifies a request or a health check on its connection; the answer carries the same tag.
type tag string

func (t tag) messageTag() string { return string(t) }

// submitMessage submits a request.
type submitMessage struct {
	tag
	class          string
	requestID      string
	tenant         string        // empty: none
	idempotencyKey string        // empty: none
	subject        string        // the subject of a read; not used
	arrivedAt      time.Time     // at the balancer, by its wall clock
	balancer       int           // the balancer's number
	timeout        time.Duration // how long the balancer waits, counted from arrivedAt; 0: not given
	retry          bool          // a retry or a hedged request
	workHint       time.Duration // expected run time on one core
	memoryKB       float64       // memory accounted for the request while it is held
	priorityRank   float64       // 0 <= rank < 1
	body           []byte
}

// cancelMessage cancels a request for which the balancer no longer waits.
type cancelMessage struct{ tag }

// pingMessage is a health check.
type pingMessage struct{ tag }

// unknownMessage is a message that the protocol does not define. It has a tag, so that it can be answered.
type unknownMessage struct{ tag }

// errNoTag is returned for a message without a valid tag, which can't be answered.
var errNoTag = errors.New("message has no valid tag")

// decodeMessage decodes an array. If it returns a message with an error, the message has a valid tag and can be
// answered; a submitMessage then has the fields that were decoded before the error. It returns nil and errNoTag
// if the message has no valid tag.
func decodeMessage(args [][]byte, maxBody, maxFields int) (message, error) {
	if len(args) < 2 {
		return nil, errNoTag
	}
	verb, t := string(args[0]), tag(args[1])
	if !t.valid() {
		return nil, errNoTag
	}
	switch {
	case verb == "DO":
		return decodeSubmit(t, args, maxBody, maxFields)
	case verb == "UNDO" && len(args) <= 3:
		return &cancelMessage{t}, nil
	case verb == "PING" && len(args) <= 3:
		return &pingMessage{t}, nil
	}
	return &unknownMessage{t}, fmt.Errorf("unknown message %.20q with %d parts", verb, len(args))
}

// valid reports whether the tag is a decimal number of 1 or more without leading zeros.
func (t tag) valid() bool {
	n, err := strconv.ParseUint(string(t), 10, 63)
	return err == nil && n > 0 && t[0] != '0'
}

func decodeSubmit(t tag, args [][]byte, maxBody, maxFields int) (*submitMessage, error) {
	m := &submitMessage{tag: t}
	switch {
	case len(args) < 4 || len(args) > 5 || len(args[2]) == 0:
		return m, fmt.Errorf("malformed submit message: empty class, or %d parts instead of 4 or 5", len(args))
	case len(args[3]) > maxFields:
		return m, errors.New("submit message: the field list exceeds the size limit")
	}
	m.class = string(args[2])
	if len(args) == 5 {
		m.body = args[4]
	}
	if len(m.body) > maxBody {
		return m, errors.New("submit message: the body exceeds the size limit")
	}
	return m, m.decodeFields(string(args[3]))
}

// decodeFields decodes a comma-separated list of name=value pairs; unknown names are ignored.
func (m *submitMessage) decodeFields(list string) error {
	for pair := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return fmt.Errorf("malformed field %.40q: not name=value", pair)
		}
		decode, known := fieldDecoders[name]
		if !known {
			continue
		}
		if err := decode(m, value); err != nil {
			return fmt.Errorf("field %s: %w", name, err)
		}
	}
	if m.requestID == "" || m.arrivedAt.IsZero() || m.memoryKB == 0 {
		return errors.New("submit message lacks one of the fields req, ts and need")
	}
	return nil
}

// Bounds of fields. Those named "Under" are exclusive.
const (
	requestIDLength = 16      // hex digits
	maxKeyLength    = 64      // bytes
	maxTimestamp    = 1 << 50 // milliseconds since 1970
	timeoutUnder    = 1e9     // milliseconds
	workHintUnder   = 1e7     // milliseconds
	memoryUnder     = 2000    // KB
	rankUnder       = 1
	balancerBits    = 30
	hexDigits       = "0123456789abcdefABCDEF"
)

// fieldDecoders maps the name of each field of a request to its decoder.
var fieldDecoders = map[string]func(m *submitMessage, value string) error{
	"req":     (*submitMessage).decodeRequestID,
	"ts":      (*submitMessage).decodeTimestamp,
	"via":     (*submitMessage).decodeBalancer,
	"timeout": (*submitMessage).decodeTimeout,
	"owner":   func(m *submitMessage, value string) error { m.tenant = value; return nil },
	"resent":  (*submitMessage).decodeRetry,
	"ms":      (*submitMessage).decodeWorkHint,
	"need":    (*submitMessage).decodeMemory,
	"level":   (*submitMessage).decodeRank,
	"opkey":   (*submitMessage).decodeKey,
	"subject": func(m *submitMessage, value string) error { m.subject = value; return nil },
}

func (m *submitMessage) decodeRequestID(value string) error {
	if len(value) != requestIDLength || strings.Trim(value, hexDigits) != "" {
		return fmt.Errorf("%.40q is not 16 hex digits", value)
	}
	m.requestID = value
	return nil
}

func (m *submitMessage) decodeTimestamp(value string) error {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimestamp {
		return fmt.Errorf("invalid time stamp %.40q", value)
	}
	m.arrivedAt = time.UnixMilli(ms)
	return nil
}

func (m *submitMessage) decodeBalancer(value string) error {
	n, err := strconv.ParseUint(value, 10, balancerBits)
	m.balancer = int(n)
	return err
}

func (m *submitMessage) decodeTimeout(value string) error {
	ms, err := decodeNumber(value, timeoutUnder)
	// A timeout of 0 has expired on arrival; without this minimum it would mean that none was given.
	m.timeout = max(time.Microsecond, milliseconds(ms))
	return err
}

func (m *submitMessage) decodeRetry(value string) error {
	if m.retry = value == "1"; !m.retry {
		return fmt.Errorf("%.40q is not 1", value)
	}
	return nil
}

func (m *submitMessage) decodeWorkHint(value string) error {
	ms, err := decodeNumber(value, workHintUnder)
	m.workHint = milliseconds(ms)
	return err
}

func (m *submitMessage) decodeMemory(value string) (err error) {
	if m.memoryKB, err = decodeNumber(value, memoryUnder); err == nil && m.memoryKB == 0 {
		err = errors.New("0 is not allowed")
	}
	return err
}

func (m *submitMessage) decodeRank(value string) (err error) {
	m.priorityRank, err = decodeNumber(value, rankUnder)
	return err
}

func (m *submitMessage) decodeKey(value string) error {
	if value == "" || len(value) > maxKeyLength {
		return fmt.Errorf("invalid idempotency key %.40q: not 1 to 64 bytes", value)
	}
	m.idempotencyKey = value
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// decodeNumber parses a number v with 0 <= v < under.
func decodeNumber(value string, under float64) (float64, error) {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(v) || v < 0 || v >= under {
		return 0, fmt.Errorf("invalid or out-of-range number %.40q", value)
	}
	return v, nil
}

// Words of answers.
const (
	wordHealthy   = "GREEN"
	wordUnhealthy = "RED"
	wordClose     = "FIN" // sent with closeTag: asks the peer to send no new request on the connection
	closeTag      = "0"
)

// answerWords are the words of final answers.
var answerWords = map[node.Status]string{node.StatusServed: "ACK", node.StatusRejected: "NAK", node.StatusFailed: "FAIL"}

// appendAnswer appends an answer to the output. Fields and body are left out if both are empty.
func appendAnswer(output []byte, tag, word string, fields, body []byte) []byte {
	parts := 2
	if len(fields) > 0 || len(body) > 0 {
		parts = 4
	}
	output = redcon.AppendArray(output, parts)
	output = redcon.AppendBulkString(output, tag)
	output = redcon.AppendBulkString(output, word)
	if parts == 4 {
		output = redcon.AppendBulk(output, fields)
		output = redcon.AppendBulk(output, body)
	}
	return output
}

// appendLoadSignal appends the field that is sent with every answer once the node has a load signal.
func appendLoadSignal(fields []byte, signal float64) []byte {
	return strconv.AppendFloat(appendFieldName(fields, "signal"), signal, 'f', 4, 64)
}

// appendRejection appends the fields of a rejection; other answers have none, since their caller does not
// retry. Retry-After is sent in whole milliseconds, rounded up: a caller that retried earlier would be rejected
// again.
func appendRejection(fields []byte, r node.Response) []byte {
	if r.Status != node.StatusRejected {
		return fields
	}
	if r.RetryAfter > 0 {
		fields = appendFieldName(fields, "holdoff")
		fields = strconv.AppendInt(fields, (r.RetryAfter + time.Millisecond - 1).Milliseconds(), 10)
	}
	if r.NoFailover {
		fields = append(appendFieldName(fields, "nomore"), '1')
	}
	return fields
}

func appendFieldName(fields []byte, name string) []byte {
	if len(fields) > 0 {
		fields = append(fields, ',')
	}
	return append(append(fields, name...), '=')
}
