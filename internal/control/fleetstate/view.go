package fleetstate

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/store/document"
)

// View is the state of the fleet on which drains and releases are decided: all documents at one revision that a
// majority confirmed, and the liveness of the nodes by the reader's failure detector.
type View struct {
	Budgets  disruption.Budgets
	Members  []ObservedMember
	Requests map[string]DrainRequest // by member
	// RequestOrder is the version of each member's request. Older requests have lower versions.
	RequestOrder map[string]uint64
	Permits      map[string]Permit // by member
	Halted       map[string]bool   // by release name, or HaltAll
	NowMS        int64             // Unix milliseconds by the reader's clock, by which requests expire
}

// ObservedMember is a node or an upstream server as observed by the reader of a view.
type ObservedMember struct {
	Name       string
	Report     NodeReport
	Unreadable bool // its report cannot be decoded
	// Liveness is Silent, or Unknown until the reader's failure detector has seen a new report; Available otherwise.
	Liveness disruption.Availability
	SinceMS  int64 // when this state began, Unix milliseconds, if known; for display only

	// Service is the service of an upstream server. It is empty for a node.
	Service string
	// UpstreamUsers are the nodes that have the upstream server in their pool.
	UpstreamUsers []UpstreamUser
}

// IsHalted reports whether a halt covers the request.
func (v View) IsHalted(r DrainRequest) bool {
	return v.Halted[HaltAll] || r.ReleaseName != "" && v.Halted[r.ReleaseName]
}

// Versions are the versions of documents when they were read, by key. 0 means that the document did not exist.
type Versions map[string]uint64

// Unchanged returns the condition that a document still has the version that was read.
func (v Versions) Unchanged(key string) document.Condition {
	return document.Condition{Key: key, Version: v[key]}
}

// Decoder decodes documents for DecodeView. It may cache them by version.
type Decoder struct {
	Request func(document.Document) (DrainRequest, error)
	Permit  func(document.Document) (Permit, error)
}

// DefaultDecoder decodes documents without a cache.
var DefaultDecoder = Decoder{
	Request: func(d document.Document) (DrainRequest, error) { return Decode[DrainRequest](d.Value) },
	Permit:  func(d document.Document) (Permit, error) { return Decode[Permit](d.Value) },
}

// DecodeView returns the view of all documents, without its members, and the documents' versions. It omits
// documents that cannot be decoded or are invalid, and returns an error that names them. A permit that cannot be
// decoded counts as out of service; without the budgets, no permit is granted.
func DecodeView(docs []document.Document, decoder Decoder, nowMS int64) (View, Versions, error) {
	v := View{Requests: map[string]DrainRequest{}, RequestOrder: map[string]uint64{}, Permits: map[string]Permit{},
		Halted: map[string]bool{}, NowMS: nowMS}
	versions := Versions{}
	var errs []error
	for _, d := range docs {
		versions[d.Key] = d.Version
		if err := v.decode(d, decoder); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", d.Key, err))
		}
	}
	return v, versions, errors.Join(errs...)
}

// decode adds a document to the view. It ignores documents on which no drain is decided.
func (v *View) decode(d document.Document, decoder Decoder) (err error) {
	if member, found := strings.CutPrefix(d.Key, DrainKeyPrefix); found {
		return v.decodeDrain(d, member, decoder)
	}
	if halt, found := strings.CutPrefix(d.Key, HaltKeyPrefix); found {
		v.Halted[halt] = true
		return nil
	}
	if d.Key == BudgetsKey {
		v.Budgets, err = Decode[disruption.Budgets](d.Value)
	}
	return err
}

// decodeDrain adds a member's request or permit.
func (v *View) decodeDrain(d document.Document, key string, decoder Decoder) error {
	if member, found := strings.CutSuffix(key, requestKeySuffix); found {
		request, err := decoder.Request(d)
		if err != nil {
			return err
		}
		v.Requests[member], v.RequestOrder[member] = request, d.Version
		return nil
	}
	member, found := strings.CutSuffix(key, permitKeySuffix)
	if !found {
		return nil
	}
	permit, err := decoder.Permit(d)
	if err != nil {
		permit = Permit{State: PermitOutOfService} // counts as out of service, whatever its state is
	}
	v.Permits[member] = permit
	return err
}

// BudgetMembers returns the members as they count against budgets, sorted by name. A member with a permit counts
// as such; the availability of others follows from their reports and liveness. Members of which only a permit is
// known are included. A node counts as available once it has been in service and healthy for minReady.
func (v View) BudgetMembers(minReady time.Duration) (members []disruption.Member) {
	observed := map[string]bool{}
	for _, m := range v.Members {
		observed[m.Name] = true
		permit, permitted := v.Permits[m.Name]
		member := disruption.Member{Name: m.Name, Labels: m.labels(), SinceMS: m.SinceMS}
		if permitted {
			member.Availability, member.SinceMS = disruption.HoldsPermit, permit.SinceMS
			if m.lacksLabels() {
				member.Labels = permit.Labels
			}
		} else {
			member.Availability = m.availability(minReady)
		}
		members = append(members, member)
	}
	for name, permit := range v.Permits {
		if !observed[name] {
			members = append(members, disruption.Member{Name: name, Labels: permit.Labels, Availability: disruption.HoldsPermit, SinceMS: permit.SinceMS})
		}
	}
	slices.SortFunc(members, func(a, b disruption.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// labels returns the member's groups by scope.
func (m ObservedMember) labels() map[string]string {
	if m.Service != "" {
		return map[string]string{"service": m.Service}
	}
	return m.Report.Labels()
}

// lacksLabels reports whether the member's report does not have its groups, so that those of its permit are used.
func (m ObservedMember) lacksLabels() bool {
	return m.Unreadable || m.Service == "" && m.Report.Zone == "" && m.Report.Kind == ""
}

// availability returns the availability of a member without a permit.
func (m ObservedMember) availability(minReady time.Duration) disruption.Availability {
	switch {
	case m.Service != "":
		return m.upstreamAvailability()
	case m.Liveness != disruption.Available:
		return m.Liveness
	case m.Unreadable:
		return disruption.Unknown
	}
	return m.Report.Availability(minReady)
}
