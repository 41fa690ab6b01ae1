// Package apispec works with the descriptions of what is served: an OpenAPI document maps uwsgi requests to the
// classes of the settings, and an AsyncAPI document tells the platform's messages.
package apispec

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/gorillamux"

	"sloehitch/internal/node"
	"sloehitch/logic"
)

// extension is the name of the OpenAPI extension that an operation must carry to be served.
const extension = "x-sloehitch"

// operation are what the extension says of an operation.
type operation struct {
	Class          string   `json:"class"`     // a class of the settings
	Semantics      string   `json:"semantics"` // retryable, dedup or fragile; must be the class's
	Key            string   `json:"key"`       // dedup: header:NAME or query:NAME that is the same for all tries
	PriorityWeight *float64 `json:"worth"`     // takes the place of the class's worth
	WorkMS         float64  `json:"work-ms"`   // the work to expect on one core; 0: unknown
	MemoryKB       float64  `json:"kb"`        // memory while held; 0: what the front holds of it
	Tenant         string   `json:"tenant"`    // header:NAME or query:NAME that names the tenant
	RetryMarker    string   `json:"retry"`     // header:NAME that is present on further tries

	class int
}

// Operations map uwsgi requests to classes.
type Operations struct {
	router        routers.Router
	operations    map[*openapi3.Operation]*operation
	tenants       map[string]int
	priorityRanks []float64
}

var semantics = map[string]logic.Idempotency{"retryable": logic.Idempotent, "dedup": logic.IdempotentByKey, "fragile": logic.NonIdempotent}

// Load reads an OpenAPI document and holds it against the settings, in which it may change the worth of classes.
func Load(text []byte, cfg *logic.Settings, classes, tenants map[string]int) (*Operations, error) {
	loader := openapi3.NewLoader() // external references stay off
	doc, err := loader.LoadFromData(text)
	if err != nil {
		return nil, err
	}
	if err := doc.Validate(context.Background()); err != nil {
		return nil, err
	}
	doc.Servers = nil // paths match wherever the front stands
	o := &Operations{operations: map[*openapi3.Operation]*operation{}, tenants: tenants}
	if o.router, err = gorillamux.NewRouter(doc); err != nil {
		return nil, err
	}
	for path, item := range doc.Paths.Map() {
		for method, op := range item.Operations() {
			t, err := readOperation(op, cfg, classes)
			if err != nil {
				return nil, fmt.Errorf("%s %s: %w", method, path, err)
			}
			if t != nil {
				o.operations[op] = t
			}
		}
	}
	if len(o.operations) == 0 {
		return nil, fmt.Errorf("no operation carries %s", extension)
	}
	o.setRanks(cfg.Classes)
	return o, nil
}

// setRanks gives each class an equal portion from 0 to 1 in order of worth, the least first, and its requests the middle.
func (o *Operations) setRanks(classes []logic.Class) {
	o.priorityRanks = make([]float64, len(classes))
	for i, c := range classes {
		below := 0
		for j, other := range classes {
			if other.PriorityWeight < c.PriorityWeight || other.PriorityWeight == c.PriorityWeight && j < i {
				below++
			}
		}
		o.priorityRanks[i] = (float64(below) + 0.5) / float64(len(classes))
	}
}

// readOperation reads an operation's extension; nil if it has none.
func readOperation(op *openapi3.Operation, cfg *logic.Settings, classes map[string]int) (*operation, error) {
	value, found := op.Extensions[extension]
	if !found {
		return nil, nil
	}
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	t := &operation{}
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields() // a misspelt term would be a rule that silently does not hold
	if err := decoder.Decode(t); err != nil {
		return nil, fmt.Errorf("%s: %w", extension, err)
	}
	var known bool
	if t.class, known = classes[t.Class]; !known {
		return nil, fmt.Errorf("%s: class %q is not in the settings", extension, t.Class)
	}
	return t, t.check(&cfg.Classes[t.class])
}

func (t *operation) check(class *logic.Class) error {
	effect, known := semantics[t.Semantics]
	switch {
	case !known:
		return fmt.Errorf("%s: semantics %q is none of retryable, dedup, fragile", extension, t.Semantics)
	case effect != class.Idempotency:
		return fmt.Errorf("%s: semantics %q is not that of class %s in the settings", extension, t.Semantics, t.Class)
	case effect == logic.IdempotentByKey && t.Key == "":
		return fmt.Errorf("%s: dedup needs a key", extension)
	case t.WorkMS < 0 || t.MemoryKB < 0 || t.PriorityWeight != nil && *t.PriorityWeight < 0:
		return fmt.Errorf("%s: negative figure", extension)
	}
	for _, from := range []string{t.Key, t.Tenant, t.RetryMarker} {
		if place, name, _ := strings.Cut(from, ":"); from != "" && (name == "" || !slices.Contains([]string{"header", "query"}, place)) {
			return fmt.Errorf("%s: %q is neither header:NAME nor query:NAME", extension, from)
		}
	}
	if t.PriorityWeight != nil {
		class.PriorityWeight = *t.PriorityWeight
	}
	return nil
}

// Map fills in what a request is by its operation. It returns 0, or the status to answer with: 400 for a request
// without its key, 404 and 405 for what is not described.
func (o *Operations) Map(get func(name string) string, q *node.Request) int {
	at := &url.URL{Scheme: "http", Host: "localhost", Path: get("PATH_INFO"), RawQuery: get("QUERY_STRING")}
	if at.Path == "" {
		at.Path, _, _ = strings.Cut(get("REQUEST_URI"), "?")
	}
	route, _, err := o.router.FindRoute(&http.Request{Method: get("REQUEST_METHOD"), URL: at, Host: at.Host})
	if errors.Is(err, routers.ErrMethodNotAllowed) {
		return http.StatusMethodNotAllowed
	}
	if err != nil || o.operations[route.Operation] == nil {
		return http.StatusNotFound
	}
	t := o.operations[route.Operation]
	query := at.Query()
	q.Class, q.PriorityRank = t.class, o.priorityRanks[t.class]
	q.WorkHint = time.Duration(t.WorkMS * float64(time.Millisecond))
	if t.MemoryKB > 0 {
		q.MemoryKB = t.MemoryKB
	}
	q.Retry = findValue(t.RetryMarker, get, query) != ""
	if tenant, known := o.tenants[findValue(t.Tenant, get, query)]; known {
		q.Tenant = tenant
	}
	if t.Key != "" {
		if q.IdempotencyKey = findValue(t.Key, get, query); q.IdempotencyKey == "" || len(q.IdempotencyKey) > 256 {
			return http.StatusBadRequest
		}
	}
	return 0
}

// findValue is the value at a place such as header:Idempotency-Key, or "".
func findValue(from string, get func(string) string, query url.Values) string {
	place, name, _ := strings.Cut(from, ":")
	switch place {
	case "header":
		return get("HTTP_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
	case "query":
		return query.Get(name)
	}
	return ""
}
