// Package apispec reads API descriptions: an OpenAPI document that maps uwsgi requests to the classes in the settings, and an
// AsyncAPI document that describes the platform's messages.
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
	"sloehitch/internal/platform/settings"
	"sloehitch/logic"
)

// extension is the name of the OpenAPI extension that an operation must have to be served.
const extension = "x-sloehitch"

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 256

// operation is the content of the extension of one operation. The JSON names are part of the document format.
type operation struct {
	Class          string   `json:"class"`     // a class in the settings
	Semantics      string   `json:"semantics"` // retryable, dedup or fragile; must match the class
	Key            string   `json:"key"`       // dedup: header:NAME or query:NAME of the idempotency key
	PriorityWeight *float64 `json:"worth"`     // replaces the class's weight
	WorkMS         float64  `json:"work-ms"`   // expected work on one core, in milliseconds; 0: unknown
	MemoryKB       float64  `json:"kb"`        // memory while in flight; 0: the bytes that the front buffers
	Tenant         string   `json:"tenant"`    // header:NAME or query:NAME of the tenant
	RetryMarker    string   `json:"retry"`     // header:NAME or query:NAME that is present on retries

	name         string // method and path
	class        int
	idempotency  logic.Idempotency
	priorityRank float64
}

// Operations maps uwsgi requests to classes. It is immutable, so it is safe for concurrent use.
type Operations struct {
	router     routers.Router
	operations map[*openapi3.Operation]operation
	tenants    map[string]int
}

// Load reads an OpenAPI document and checks it against the settings. It sets the priority weights of classes in cfg where the document
// gives them.
func Load(text []byte, cfg *logic.Settings, classes, tenants map[string]int) (*Operations, error) {
	loader := openapi3.NewLoader() // external references are disabled by default
	doc, err := loader.LoadFromData(text)
	if err != nil {
		return nil, err
	}
	if err := doc.Validate(context.Background()); err != nil {
		return nil, err
	}
	doc.Servers = nil // match paths independent of the server's address
	o := &Operations{operations: map[*openapi3.Operation]operation{}}
	if o.router, err = gorillamux.NewRouter(doc); err != nil {
		return nil, err
	}
	for path, item := range doc.Paths.Map() {
		for method, op := range item.Operations() {
			described, err := readOperation(op)
			if err != nil {
				return nil, fmt.Errorf("%s %s: %w", method, path, err)
			}
			if described != nil {
				described.name = method + " " + path
				o.operations[op] = *described
			}
		}
	}
	if len(o.operations) == 0 {
		return nil, fmt.Errorf("no operation has the extension %s", extension)
	}
	return o.ForSettings(cfg, classes, tenants)
}

// ForSettings returns the same operations for other settings, after it has checked them against these. It sets the priority weights of
// classes in cfg where the document gives them.
func (o *Operations) ForSettings(cfg *logic.Settings, classes, tenants map[string]int) (*Operations, error) {
	checked := o.WithIndices(classes, tenants)
	for _, op := range checked.operations {
		if _, known := classes[op.Class]; !known {
			return nil, fmt.Errorf("%s: %s: class %q is not in the settings", op.name, extension, op.Class)
		}
		if err := op.check(&cfg.Classes[op.class]); err != nil {
			return nil, fmt.Errorf("%s: %w", op.name, err)
		}
	}
	ranks := priorityRanks(cfg.Classes)
	for doc, op := range checked.operations {
		op.priorityRank = ranks[op.class]
		checked.operations[doc] = op
	}
	return checked, nil
}

// WithoutFormerKey returns the sorted names of the operations that read their idempotency key from another place than they did in former,
// or read none any more.
func (o *Operations) WithoutFormerKey(former *Operations) []string {
	keys := map[string]string{}
	for _, op := range former.operations {
		keys[op.name] = op.Key
	}
	var names []string
	for _, op := range o.operations {
		if key := keys[op.name]; key != "" && key != op.Key {
			names = append(names, op.name)
		}
	}
	slices.Sort(names)
	return names
}

// WithIndices returns the same operations with other indices of their classes and the tenants, such as those that they have once the
// settings that the operations were checked against are merged with the running ones (package reconfigure). A class without an index gets 0.
func (o *Operations) WithIndices(classes, tenants map[string]int) *Operations {
	indexed := &Operations{router: o.router, operations: map[*openapi3.Operation]operation{}, tenants: tenants}
	for doc, op := range o.operations {
		op.class = classes[op.Class]
		indexed.operations[doc] = op
	}
	return indexed
}

// priorityRanks divides the interval from 0 to 1 into equal parts, one per class in ascending order of priority weight, and returns the
// middle of each class's part.
func priorityRanks(classes []logic.Class) []float64 {
	ranks := make([]float64, len(classes))
	for i, c := range classes {
		below := 0
		for j, other := range classes {
			if other.PriorityWeight < c.PriorityWeight || other.PriorityWeight == c.PriorityWeight && j < i {
				below++
			}
		}
		ranks[i] = (float64(below) + 0.5) / float64(len(classes))
	}
	return ranks
}

// readOperation parses an operation's extension. It returns nil if the operation has none.
func readOperation(operationDoc *openapi3.Operation) (*operation, error) {
	value, found := operationDoc.Extensions[extension]
	if !found {
		return nil, nil
	}
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	op := &operation{}
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields() // otherwise a misspelt name would be ignored silently
	if err := decoder.Decode(op); err != nil {
		return nil, fmt.Errorf("%s: %w", extension, err)
	}
	var known bool
	if op.idempotency, known = settings.ParseIdempotency(op.Semantics); !known {
		return nil, fmt.Errorf("%s: unknown semantics %q: must be one of retryable, dedup, fragile", extension, op.Semantics)
	}
	return op, nil
}

// check validates the extension against its class. If the extension has a priority weight, check sets it in the class.
func (op *operation) check(class *logic.Class) error {
	switch {
	case op.idempotency != class.Idempotency:
		return fmt.Errorf("%s: semantics %q differs from that of class %s in the settings", extension, op.Semantics, op.Class)
	case op.idempotency == logic.IdempotentByKey && op.Key == "":
		return fmt.Errorf("%s: semantics dedup requires key", extension)
	case op.WorkMS < 0 || op.MemoryKB < 0 || op.PriorityWeight != nil && *op.PriorityWeight < 0:
		return fmt.Errorf("%s: work-ms, kb and worth must not be negative", extension)
	}
	for _, source := range []string{op.Key, op.Tenant, op.RetryMarker} {
		if place, name, _ := strings.Cut(source, ":"); source != "" && (name == "" || !slices.Contains([]string{"header", "query"}, place)) {
			return fmt.Errorf("%s: %q is neither header:NAME nor query:NAME", extension, source)
		}
	}
	if op.PriorityWeight != nil {
		class.PriorityWeight = *op.PriorityWeight
	}
	return nil
}

// Map classifies a request by its operation and fills in q. It returns 0, or the HTTP status of the rejection: 400 for a missing or too
// long idempotency key, 404 for an unknown path and for an operation without the extension, 405 for an unknown method.
func (o *Operations) Map(get func(name string) string, q *node.Request) int {
	at := &url.URL{Scheme: "http", Host: "localhost", Path: get("PATH_INFO"), RawQuery: get("QUERY_STRING")}
	if at.Path == "" {
		at.Path, _, _ = strings.Cut(get("REQUEST_URI"), "?")
	}
	route, _, err := o.router.FindRoute(&http.Request{Method: get("REQUEST_METHOD"), URL: at, Host: at.Host})
	if errors.Is(err, routers.ErrMethodNotAllowed) {
		return http.StatusMethodNotAllowed
	}
	if err != nil {
		return http.StatusNotFound
	}
	op, described := o.operations[route.Operation]
	if !described {
		return http.StatusNotFound
	}
	query := at.Query()
	q.Class, q.Idempotency, q.PriorityRank = op.class, op.idempotency, op.priorityRank
	q.WorkHint = time.Duration(op.WorkMS * float64(time.Millisecond))
	if op.MemoryKB > 0 {
		q.MemoryKB = op.MemoryKB
	}
	q.Retry = findValue(op.RetryMarker, get, query) != ""
	if tenant, known := o.tenants[findValue(op.Tenant, get, query)]; known {
		q.Tenant = tenant
	}
	if op.Key != "" {
		if q.IdempotencyKey = findValue(op.Key, get, query); q.IdempotencyKey == "" || len(q.IdempotencyKey) > maxKeyBytes {
			return http.StatusBadRequest
		}
	}
	return 0
}

// findValue returns the value of the header or query parameter that source names, such as header:Idempotency-Key, or "".
func findValue(source string, get func(string) string, query url.Values) string {
	place, name, _ := strings.Cut(source, ":")
	switch place {
	case "header":
		return get("HTTP_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
	case "query":
		return query.Get(name)
	}
	return ""
}
