package apispec

import (
	"strings"
	"testing"
	"time"

	"sloehitch/internal/node"
	"sloehitch/logic"
)

const api = `
openapi: 3.0.3
info: {title: booking, version: "1"}
paths:
  /slots/{clinic}:
    get:
      parameters: [{name: clinic, in: path, required: true, schema: {type: string}}]
      responses: {"200": {description: ok}}
      x-sloehitch: {class: slot-search, semantics: retryable, work-ms: 12.5, kb: 20, tenant: "header:X-Tenant", retry: "header:X-Retry"}
  /book:
    post:
      responses: {"200": {description: ok}}
      x-sloehitch: {class: book, semantics: dedup, key: "query:opkey", worth: 5}
    get:
      responses: {"200": {description: ok}}
`

var classes = map[string]int{"slot-search": 0, "book": 1}

func cfg() *logic.Settings {
	return &logic.Settings{Classes: []logic.Class{{Name: "slot-search", PriorityWeight: 1}, {Name: "book", PriorityWeight: 3, Idempotency: logic.IdempotentByKey}}}
}

func TestMap(t *testing.T) {
	c := cfg()
	o, err := Load([]byte(api), c, classes, map[string]int{"acme": 0})
	if err != nil {
		t.Fatal(err)
	}
	if c.Classes[1].PriorityWeight != 5 || c.Classes[0].PriorityWeight != 1 {
		t.Errorf("priority weights %v and %v, want 1 and 5", c.Classes[0].PriorityWeight, c.Classes[1].PriorityWeight)
	}
	for _, tc := range []struct {
		name   string
		vars   map[string]string
		status int
		want   node.Request
	}{
		{"read", map[string]string{"REQUEST_METHOD": "GET", "PATH_INFO": "/slots/5", "HTTP_X_TENANT": "acme", "HTTP_X_RETRY": "1"}, 0,
			node.Request{Class: 0, Tenant: 0, MemoryKB: 20, WorkHint: 12500 * time.Microsecond, PriorityRank: 0.25, Retry: true}},
		{"unknown tenant", map[string]string{"REQUEST_METHOD": "GET", "PATH_INFO": "/slots/5", "HTTP_X_TENANT": "other"}, 0,
			node.Request{Class: 0, Tenant: -1, MemoryKB: 20, WorkHint: 12500 * time.Microsecond, PriorityRank: 0.25}},
		{"booking", map[string]string{"REQUEST_METHOD": "POST", "REQUEST_URI": "/book?opkey=k", "QUERY_STRING": "opkey=k"}, 0,
			node.Request{Class: 1, Tenant: -1, MemoryKB: 1, PriorityRank: 0.75, IdempotencyKey: "k", Idempotency: logic.IdempotentByKey}},
		{"booking without its key", map[string]string{"REQUEST_METHOD": "POST", "PATH_INFO": "/book"}, 400, node.Request{}},
		{"key too long", map[string]string{"REQUEST_METHOD": "POST", "PATH_INFO": "/book", "QUERY_STRING": "opkey=" + strings.Repeat("k", 257)}, 400, node.Request{}},
		{"operation without the extension", map[string]string{"REQUEST_METHOD": "GET", "PATH_INFO": "/book"}, 404, node.Request{}},
		{"no such path", map[string]string{"REQUEST_METHOD": "GET", "PATH_INFO": "/x"}, 404, node.Request{}},
		{"no such method", map[string]string{"REQUEST_METHOD": "DELETE", "PATH_INFO": "/book"}, 405, node.Request{}},
		{"no variables", map[string]string{}, 404, node.Request{}},
	} {
		q := node.Request{Tenant: -1, MemoryKB: 1}
		status := o.Map(func(name string) string { return tc.vars[name] }, &q)
		if status != tc.status {
			t.Errorf("%s: status %d, want %d", tc.name, status, tc.status)
		}
		w := tc.want
		if status == 0 && (q.Class != w.Class || q.Tenant != w.Tenant || q.MemoryKB != w.MemoryKB || q.WorkHint != w.WorkHint || q.PriorityRank != w.PriorityRank ||
			q.Retry != w.Retry || q.IdempotencyKey != w.IdempotencyKey) {
			t.Errorf("%s: %+v\nwant %+v", tc.name, q, w)
		}
	}
}

func TestLoadRejectsInvalidDocuments(t *testing.T) {
	for _, c := range []struct{ name, old, new, wrong string }{
		{"unknown class", "class: book", "class: cook", "not in the settings"},
		{"wrong semantics", "semantics: dedup", "semantics: retryable", "differs from that of class"},
		{"unknown semantics", "semantics: dedup", "semantics: once", "must be one of"},
		{"no key", `key: "query:opkey", `, "", "requires key"},
		{"neither header nor query", "query:opkey", "cookie:opkey", "neither"},
		{"query without a name", "query:opkey", "query:", "neither"},
		{"negative worth", "worth: 5", "worth: -5", "negative"},
		{"misspelt name", "work-ms", "work_ms", "unknown field"},
		{"not OpenAPI", "openapi: 3.0.3", "swagger: 2", ""},
		{"no operation with the extension", "x-sloehitch", "x-other", "no operation"},
	} {
		text := strings.ReplaceAll(api, c.old, c.new)
		if _, err := Load([]byte(text), cfg(), classes, nil); err == nil || !strings.Contains(err.Error(), c.wrong) {
			t.Errorf("%s: %v, want an error on %q", c.name, err, c.wrong)
		}
	}
}
