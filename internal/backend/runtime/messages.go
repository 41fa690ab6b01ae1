package runtime

import (
	"encoding/base64"
	"encoding/json"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// command is a message to the runtime.
type command struct {
	Action  string  `json:"action"`
	UID     string  `json:"uid,omitempty"`
	Lane    string  `json:"lane,omitempty"`
	Content *string `json:"content,omitempty"`
	Pos     *uint64 `json:"pos,omitempty"`
	Echo    string  `json:"echo,omitempty"`
}

// notice is a message from the runtime.
type notice struct {
	Action  string        `json:"action"`
	Pos     uint64        `json:"pos"`
	UID     string        `json:"uid"`
	Code    string        `json:"code"`
	WallMS  float64       `json:"wall_ms"`
	Content string        `json:"content"`
	Echo    string        `json:"echo"`
	Meters  []json.Number `json:"meters"`
}

// Echoes that show how far the other end is.
const (
	echoResumed   = "resumed" // all notices up to the resumption have been read
	echoHandover  = "moved"   // all commands written before the move have been taken
	echoKeepalive = "alive"   // the other end is there: nothing else was heard of it for a while
)

func encodeCommand(c command) []byte {
	line, err := json.Marshal(c)
	if err != nil { // strings and numbers always marshal
		panic(err)
	}
	return append(line, '\n')
}

func encodeBody(body []byte) *string {
	s := base64.StdEncoding.EncodeToString(body)
	return &s
}

var endOutcomes = map[string]admission.Outcome{"OK": logic.OutcomeOK, "ERROR": logic.OutcomeFailed, "STOPPED": logic.OutcomeCanceled, "MOOT": logic.OutcomeNotStarted}
