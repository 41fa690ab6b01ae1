package runtime

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// The runtime's protocol consists of JSON objects, one per line: commands are sent to the runtime, notices are
// received from it. Its field names and words are used in this file only.

// Echoes of gauges requests. The runtime returns the echo of a request with the gauges. When it arrives, the
// runtime has read all commands before the request, and all notices that it had until then have been received.
// Requests made by RequestGauges have a number as their echo.
const (
	echoResumed        = "resumed" // the link is resumed
	echoAddressChanged = "moved"   // the connection may end: the address has changed
	echoKeepalive      = "alive"   // the runtime is alive
)

// Commands, one type for each set of fields.
type (
	// syncCommand is the first on a connection. The runtime sends the notices after LastNotice.
	syncCommand struct {
		Action     string `json:"action"`
		LastNotice uint64 `json:"pos"`
	}
	// startCommand starts a run.
	startCommand struct {
		Action string `json:"action"`
		ID     string `json:"uid,omitempty"`
		Class  string `json:"lane,omitempty"`
		Body   string `json:"content"`
	}
	// runCommand pauses, ends or resumes a run.
	runCommand struct {
		Action string `json:"action"`
		ID     string `json:"uid,omitempty"`
	}
	// replyCommand carries the reply to the call that a run waits for.
	replyCommand struct {
		Action string `json:"action"`
		ID     string `json:"uid,omitempty"`
		Reply  string `json:"content"`
	}
	// skipCallCommand makes a run continue without the call that a notice requested.
	skipCallCommand struct {
		Action     string `json:"action"`
		ID         string `json:"uid,omitempty"`
		CallNotice uint64 `json:"pos"`
	}
	// gaugesCommand requests the gauges.
	gaugesCommand struct {
		Action string `json:"action"`
		Echo   string `json:"echo,omitempty"`
	}
)

func encodeSync(lastNotice uint64) []byte {
	return encodeCommand(syncCommand{Action: "sync", LastNotice: lastNotice})
}

func encodeStart(id, class string, body []byte) []byte {
	return encodeCommand(startCommand{Action: "start", ID: id, Class: class, Body: encodeBody(body)})
}

func encodeStop(id string) []byte { return encodeCommand(runCommand{Action: "stop", ID: id}) }

func encodeResume(id string) []byte { return encodeCommand(runCommand{Action: "cont", ID: id}) }

func encodeReply(id string, reply []byte) []byte {
	return encodeCommand(replyCommand{Action: "give", ID: id, Reply: encodeBody(reply)})
}

func encodeSkipCall(id string, callNotice uint64) []byte {
	return encodeCommand(skipCallCommand{Action: "omit", ID: id, CallNotice: callNotice})
}

func encodeGaugesRequest(echo string) []byte {
	return encodeCommand(gaugesCommand{Action: "gauges", Echo: echo})
}

func encodeCommand(command any) []byte {
	line, err := json.Marshal(command)
	if err != nil { // strings and numbers always marshal
		panic(err)
	}
	return append(line, '\n')
}

func encodeBody(body []byte) string { return base64.StdEncoding.EncodeToString(body) }

// noticeKind is the kind of a notice.
type noticeKind int

const (
	noticeIgnored         noticeKind = iota // informational, or of an unknown kind
	noticeReady                             // the runtime accepts commands
	noticeRunEnded                          // a run has ended
	noticeCallRequested                     // a run waits for a call
	noticeGauges                            // the gauges
	noticeCommandRejected                   // a command was not carried out
)

var noticeKinds = map[string]noticeKind{"ready": noticeReady, "end": noticeRunEnded, "wants": noticeCallRequested, "load": noticeGauges,
	"nack": noticeCommandRejected}

// notice is a decoded notice; the method named for its kind returns its message.
type notice struct {
	kind   noticeKind
	number uint64 // 0: the notice is not numbered
	fields noticeFields
	body   []byte // decoded content of noticeCallRequested
}

// noticeFields are the fields on the wire of notices of all kinds.
type noticeFields struct {
	Action  string        `json:"action"`
	Pos     uint64        `json:"pos"`
	UID     string        `json:"uid"`
	Code    string        `json:"code"`
	WallMS  float64       `json:"wall_ms"`
	Content string        `json:"content"`
	Echo    string        `json:"echo"`
	Meters  []json.Number `json:"meters"`
}

// decodeNotice decodes a line. An informational notice ("info") is ignored, so its fields may have any type.
func decodeNotice(line []byte) (n notice, err error) {
	var mistyped *json.UnmarshalTypeError
	if err := json.Unmarshal(line, &n.fields); err != nil && (!errors.As(err, &mistyped) || n.fields.Action != "info") {
		return n, err
	}
	n.kind, n.number = noticeKinds[n.fields.Action], n.fields.Pos
	if n.kind == noticeCallRequested {
		n.body, err = base64.StdEncoding.DecodeString(n.fields.Content)
	}
	return n, err
}

// readyNotice is the message of noticeReady.
type readyNotice struct {
	state string  // COLD or WARM
	upMS  float64 // milliseconds since the runtime started
}

func (n *notice) ready() readyNotice { return readyNotice{state: n.fields.Code, upMS: n.fields.WallMS} }

// runEndedNotice is the message of noticeRunEnded.
type runEndedNotice struct {
	id      string
	outcome admission.Outcome
	took    time.Duration
	result  []byte
}

// endOutcomes maps the code of a run's end to its outcome.
var endOutcomes = map[string]admission.Outcome{"OK": logic.OutcomeOK, "ERROR": logic.OutcomeFailed, "STOPPED": logic.OutcomeCanceled,
	"MOOT": logic.OutcomeNotStarted}

// runEnded returns the message. It returns an error, and a message with OutcomeFailed, if the end's code is
// unknown, or its result can't be decoded or is longer than maxResult bytes.
func (n *notice) runEnded(maxResult int) (runEndedNotice, error) {
	f := &n.fields
	m := runEndedNotice{id: f.UID, took: time.Duration(f.WallMS * float64(time.Millisecond))}
	outcome, known := endOutcomes[f.Code]
	result, err := base64.StdEncoding.DecodeString(f.Content)
	switch {
	case !known:
		err = fmt.Errorf("unknown end code %.40q of run %.40q", f.Code, f.UID)
	case err != nil:
		err = fmt.Errorf("decode result of run %.40q: %w", f.UID, err)
	case len(result) > maxResult:
		err = fmt.Errorf("result of run %.40q exceeds the size limit: %d bytes", f.UID, len(result))
	}
	if err != nil {
		m.outcome = logic.OutcomeFailed
		return m, err
	}
	m.outcome, m.result = outcome, result
	return m, nil
}

// callRequestedNotice is the message of noticeCallRequested.
type callRequestedNotice struct {
	id   string
	body []byte
}

func (n *notice) callRequested() callRequestedNotice {
	return callRequestedNotice{id: n.fields.UID, body: n.body}
}

// gaugesNotice is the message of noticeGauges.
type gaugesNotice struct {
	echo   string
	values []json.Number
}

func (n *notice) gauges() gaugesNotice {
	return gaugesNotice{echo: n.fields.Echo, values: n.fields.Meters}
}

// requestNumber returns the number of the RequestGauges request that the gauges answer, if the echo is a number.
func (m gaugesNotice) requestNumber() (number uint64, ok bool) {
	number, err := strconv.ParseUint(m.echo, 10, 64)
	return number, err == nil
}

// decode converts the values to gauges; names are those of the configuration, in the order of the values. A gauge
// that is missing or is not a number is -1.
func (m gaugesNotice) decode(names []string) admission.Gauges {
	g := admission.Gauges{CPUUtilization: -1, RunQueueLength: -1, MemoryUtilization: -1, Connections: -1}
	for i, name := range names[:min(len(names), len(m.values))] {
		v, err := m.values[i].Float64()
		if err != nil {
			continue
		}
		switch name {
		case "core_use":
			g.CPUUtilization = v
		case "on_cores":
			g.RunQueueLength = v
		case "heap_share":
			g.MemoryUtilization = v
		case "links":
			g.Connections = v
		}
	}
	return g
}

// commandRejectedNotice is the message of noticeCommandRejected.
type commandRejectedNotice struct {
	id      string
	command string // the command's name on the wire
	start   bool   // the command was to start a run
}

func (n *notice) commandRejected() commandRejectedNotice {
	return commandRejectedNotice{id: n.fields.UID, command: n.fields.Code, start: n.fields.Code == "start"}
}
