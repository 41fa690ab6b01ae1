package catalogue

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// The catalogue's protocol: lines that end in CR LF, and bodies of a length that their line names. Nothing
// outside this file knows its words.

// encodeCall encodes a call for a request: its id, how long its caller waits in milliseconds, and the body.
func encodeCall(id string, timeout time.Duration, body []byte) []byte {
	return fmt.Appendf(nil, "FETCH %s %d %d\r\n%s\r\n", id, max(1, timeout.Milliseconds()), len(body), body)
}

// appendCancel appends the message that nobody waits for a request's call any more. It gets no reply.
func appendCancel(b []byte, id string) []byte { return fmt.Appendf(b, "QUIT %s\r\n", id) }

// replyOutcomes are the outcomes of calls by the word of their reply.
var replyOutcomes = map[string]admission.Outcome{
	"DATA":    logic.OutcomeOK,
	"LATER":   logic.OutcomeRejected,
	"FAULT":   logic.OutcomeFailed,
	"TOOSLOW": logic.OutcomeTimedOut,
	"NOUSE":   logic.OutcomeNotStarted,
}

// reply is one reply to a call.
type reply struct {
	id      string // of the request
	outcome admission.Outcome
	body    []byte // of one with OutcomeOK
}

// errMalformedReply is the error of what is not a reply. Nothing more on its connection can be told apart.
var errMalformedReply = errors.New("malformed reply")

// readReply reads one reply with its body, which may have maxBody bytes. The error is errMalformedReply or
// that of the connection.
func readReply(in *bufio.Reader, maxBody int) (reply, error) {
	line, err := in.ReadSlice('\n') // a line that does not end fills the buffer, which is an error
	if err != nil {
		return reply{}, err
	}
	id, outcome, length, err := parseReply(string(line), maxBody)
	if err != nil || outcome != logic.OutcomeOK {
		return reply{id: id, outcome: outcome}, err
	}
	body := make([]byte, length+len("\r\n"))
	if _, err := io.ReadFull(in, body); err != nil {
		return reply{}, err
	}
	if string(body[length:]) != "\r\n" {
		return reply{}, fmt.Errorf("%w: its body does not end in CR LF", errMalformedReply)
	}
	return reply{id, outcome, body[:length]}, nil
}

// parseReply reads a reply's line; length is that of the body in bytes, which follows OutcomeOK alone.
func parseReply(line string, maxBody int) (id string, outcome admission.Outcome, length int, err error) {
	text, complete := strings.CutSuffix(line, "\r\n")
	words := strings.Split(text, " ")
	if !complete || len(words) < 2 || words[0] == "" {
		return "", 0, 0, fmt.Errorf("%w: %.60q", errMalformedReply, line)
	}
	outcome, known := replyOutcomes[words[1]]
	if !known || (outcome == logic.OutcomeOK) != (len(words) == 3) {
		return "", 0, 0, fmt.Errorf("%w: %.60q", errMalformedReply, line)
	}
	if outcome == logic.OutcomeOK {
		n, err := strconv.ParseUint(words[2], 10, 31)
		if err != nil || int(n) > maxBody {
			return "", 0, 0, fmt.Errorf("%w, its length: %.60q", errMalformedReply, line)
		}
		length = int(n)
	}
	return words[0], outcome, length, nil
}
