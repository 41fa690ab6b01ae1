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

// The catalogue's protocol consists of lines that end in CR LF, and bodies whose length is given in their line. Its
// words are used in this file only.

// encodeCall encodes a call for a request: the request's id, the timeout in milliseconds, and the body with its length.
func encodeCall(id string, timeout time.Duration, body []byte) []byte {
	return fmt.Appendf(nil, "FETCH %s %d %d\r\n%s\r\n", id, max(1, timeout.Milliseconds()), len(body), body)
}

// appendCancel appends the message that cancels a request's call. It gets no reply.
func appendCancel(b []byte, id string) []byte { return fmt.Appendf(b, "QUIT %s\r\n", id) }

// replyOutcomes maps the word of a reply to the outcome of its call.
var replyOutcomes = map[string]admission.Outcome{
	"DATA":    logic.OutcomeOK,
	"LATER":   logic.OutcomeRejected,
	"FAULT":   logic.OutcomeFailed,
	"TOOSLOW": logic.OutcomeTimedOut,
	"NOUSE":   logic.OutcomeNotStarted,
}

// reply is one reply to a call.
type reply struct {
	id      string // the request's id
	outcome admission.Outcome
	body    []byte // for OutcomeOK only
}

// errMalformedReply is returned for data that is not a reply. The next reply on the connection can't be located then.
var errMalformedReply = errors.New("malformed reply")

// readReply reads one reply with its body, which may have up to maxBody bytes. It returns errMalformedReply or the
// connection's error.
func readReply(in *bufio.Reader, maxBody int) (reply, error) {
	line, err := in.ReadSlice('\n') // fails if the line is longer than the buffer
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
		return reply{}, fmt.Errorf("%w: the body does not end in CR LF", errMalformedReply)
	}
	return reply{id, outcome, body[:length]}, nil
}

// parseReply parses a reply's line; length is that of the body in bytes, which follows OutcomeOK only.
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
			return "", 0, 0, fmt.Errorf("%w: invalid body length or body too long: %.60q", errMalformedReply, line)
		}
		length = int(n)
	}
	return words[0], outcome, length, nil
}
