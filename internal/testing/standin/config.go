package standin

import (
	"fmt"
	"strings"
	"time"
)

// Settings is a JSON settings object with short deadlines: a read class and a booking class with idempotency keys, on two cores.
const Settings = `{"az":"a","ceilings":{"retry-after":true,"max-retry-after":1000000},
 "classes":[{"name":"slot-search","objective":400000,"hard-limit":600000,"credit":1,"semantics":"retryable","window":5000000},
  {"name":"book","objective":400000,"hard-limit":600000,"credit":3,"semantics":"dedup","window":90000000}],
 "counted-by":"work","domain":{"class-calls":[true,true],"cores":2,"degraded-worth":[0.6,0],"downstream":"tier",
  "hangup-seen":true,"idle":30000000,"just-started":false,"kb-per-key":1,"memory-kb":10000,"run-factor":8,
  "meters":["core_use","on_cores","heap_share","links"],"signal":"floor","stop-mode":"freeze"},
 "projects":[{"name":"acme","quota-per-s":1000,"share":1}],
 "rules":{"cold":1000000,"fall":1500000,"grace-to-answer":80000,"overload-factor":5,"start-capacity":0.2,
  "stop-sending-within":1000000},"servers":1,"tick":4000}`

// Config returns a platform configuration with these settings and the given deadline; peers with an empty address are not used. Tests that
// are not about deadlines pass a long one, so that a slow machine does not change their outcome.
func Config(listen, runtime, catalog string, deadline time.Duration) string {
	settings := strings.ReplaceAll(Settings, "600000", fmt.Sprint(deadline.Microseconds()))
	settings = strings.ReplaceAll(settings, "400000", fmt.Sprint(deadline.Microseconds()*2/3))
	return fmt.Sprintf(`{"name":"n1","listen":%q,"runtime":%q,"catalog":%q,"seed":"1","stop_ms":3000,
 "limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":%s}`, listen, runtime, catalog, settings)
}

// RequestID returns the id of a test's n-th request, 16 hexadecimal digits.
func RequestID(n int) string { return fmt.Sprintf("%016x", n) }
