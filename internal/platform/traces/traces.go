// Package traces writes uwsgi requests to a file as OpenTelemetry spans, one JSON object each. Spans are created when a request is done,
// from its recorded times, so that tracing costs nothing when it is off and little when it is on.
package traces

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"sloehitch/internal/frontend/uwsgi"
	"sloehitch/internal/platform/limits"
)

// Traces writes spans to a file. It is safe for concurrent use.
type Traces struct {
	provider   *sdktrace.TracerProvider
	tracer     trace.Tracer
	file       *os.File
	sampleRate float64
}

// Open opens the file at path to append spans to it. sampleRate is the fraction of requests that are traced, 0 to 1; requests that their
// client samples are always traced.
func Open(path, node string, sampleRate float64, l limits.Limits, log *slog.Logger) (*Traces, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		f.Close()
		return nil, err
	}
	t := &Traces{file: f, sampleRate: sampleRate}
	t.provider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(l.QueuedSpans)), // spans above it are dropped, so that a slow disk delays no request
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "sloehitch"), attribute.String("service.instance.id", node))))
	t.tracer = t.provider.Tracer("sloehitch/uwsgi")
	log.Info("writing traces", "file", path, "sample_rate", sampleRate)
	return t, nil
}

// Close writes the queued spans and closes the file. It blocks at most until the context is done.
func (t *Traces) Close(ctx context.Context) error {
	err := t.provider.Shutdown(ctx)
	if closeErr := t.file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// carrier adapts a client's traceparent header (W3C Trace Context, section 3.2) to propagation.TextMapCarrier.
type carrier string

// Get implements propagation.TextMapCarrier.
func (c carrier) Get(key string) string {
	if key == "traceparent" {
		return string(c)
	}
	return ""
}

// Set implements propagation.TextMapCarrier; it does nothing.
func (carrier) Set(string, string) {}

// Keys implements propagation.TextMapCarrier.
func (carrier) Keys() []string { return []string{"traceparent"} }

// sampled reports whether a request is traced. It depends only on the request's ID.
func (t *Traces) sampled(id string) bool {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) < t.sampleRate*(1<<32)
}

// RecordRequest records the spans of a request that is done: one for the whole request, one for its time in the queue, and one for each
// attempt on a server.
func (t *Traces) RecordRequest(r uwsgi.RequestTimes) {
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier(r.TraceParent))
	if !trace.SpanContextFromContext(ctx).IsSampled() && !t.sampled(r.ID) {
		return
	}
	ctx, request := t.tracer.Start(ctx, "request", trace.WithTimestamp(r.ReadAt), trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("sloehitch.request", r.ID), attribute.String("sloehitch.outcome", r.Outcome), attribute.Bool("sloehitch.streamed", r.Streamed)))
	defer request.End(trace.WithTimestamp(r.AnsweredAt))
	if r.Outcome != "served" {
		request.SetStatus(codes.Error, r.Outcome)
	}
	startedAt := r.AnsweredAt
	if !r.Run.StartedAt.IsZero() {
		startedAt = r.Run.StartedAt
	}
	_, queued := t.tracer.Start(ctx, "held", trace.WithTimestamp(r.ReadAt))
	queued.End(trace.WithTimestamp(startedAt))
	for i, attempt := range r.Run.Attempts {
		t.recordAttempt(ctx, i+1, attempt, r.AnsweredAt)
	}
}

// recordAttempt records the span of a request's n-th attempt.
func (t *Traces) recordAttempt(ctx context.Context, n int, attempt uwsgi.AttemptTimes, answeredAt time.Time) {
	endedAt := attempt.EndedAt
	if endedAt.IsZero() { // the request was answered while the attempt was in progress
		endedAt = answeredAt
	}
	_, span := t.tracer.Start(ctx, fmt.Sprint("try ", n), trace.WithTimestamp(attempt.StartedAt), trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server.address", attempt.Server)))
	for _, event := range []struct {
		name string
		at   time.Time
	}{{"connected", attempt.ConnectedAt}, {"first byte", attempt.FirstByteAt}} {
		if !event.at.IsZero() {
			span.AddEvent(event.name, trace.WithTimestamp(event.at))
		}
	}
	if attempt.Failure != "" {
		span.SetStatus(codes.Error, attempt.Failure)
	}
	span.End(trace.WithTimestamp(endedAt))
}
