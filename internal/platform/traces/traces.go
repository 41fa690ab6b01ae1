// Package traces writes what happened to uwsgi requests as OpenTelemetry spans, one JSON object each, to a file. Spans are made once a
// request is over, of the times that were noted on its way, so that they cost nothing while they are off and little while they are on.
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

// Traces writes spans to a file.
type Traces struct {
	provider   *sdktrace.TracerProvider
	tracer     trace.Tracer
	file       *os.File
	sampleRate float64
}

// Open appends to the file at path. share is the part of requests that are traced, 0 to 1; those whose client traces them are in any case.
func Open(path, node string, share float64, l limits.Limits, log *slog.Logger) (*Traces, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		f.Close()
		return nil, err
	}
	t := &Traces{file: f, sampleRate: share}
	t.provider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(l.QueuedSpans)), // what doesn't fit is dropped: a slow disk holds up nobody
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "sloehitch"), attribute.String("service.instance.id", node))))
	t.tracer = t.provider.Tracer("sloehitch/uwsgi")
	log.Info("traces are written", "file", path, "share", share)
	return t, nil
}

// Close writes what is left, for as long as the context allows.
func (t *Traces) Close(ctx context.Context) error {
	err := t.provider.Shutdown(ctx)
	if closeErr := t.file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// carrier hands a client's traceparent over (W3C Trace Context, section 3.2).
type carrier string

func (c carrier) Get(key string) string {
	if key == "traceparent" {
		return string(c)
	}
	return ""
}
func (carrier) Set(string, string) {}
func (carrier) Keys() []string     { return []string{"traceparent"} }

// sampled picks requests by their id, the same ones at each call.
func (t *Traces) sampled(id string) bool {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) < t.sampleRate*(1<<32)
}

// RecordRequest writes a request that is over: a span for all of it, one for the time that it was held, and one for each try on a server.
func (t *Traces) RecordRequest(r uwsgi.RequestTimes) {
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier(r.TraceParent))
	if !trace.SpanContextFromContext(ctx).IsSampled() && !t.sampled(r.ID) {
		return
	}
	ctx, whole := t.tracer.Start(ctx, "request", trace.WithTimestamp(r.ReadAt), trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("sloehitch.request", r.ID), attribute.String("sloehitch.outcome", r.Outcome), attribute.Bool("sloehitch.streamed", r.Streamed)))
	defer whole.End(trace.WithTimestamp(r.AnsweredAt))
	if r.Outcome != "served" {
		whole.SetStatus(codes.Error, r.Outcome)
	}
	started := r.AnsweredAt
	if !r.Run.StartedAt.IsZero() {
		started = r.Run.StartedAt
	}
	_, held := t.tracer.Start(ctx, "held", trace.WithTimestamp(r.ReadAt))
	held.End(trace.WithTimestamp(started))
	for n, try := range r.Run.Attempts {
		end := try.EndedAt
		if end.IsZero() { // answered while it was under way
			end = r.AnsweredAt
		}
		_, span := t.tracer.Start(ctx, fmt.Sprint("try ", n+1), trace.WithTimestamp(try.StartedAt), trace.WithSpanKind(trace.SpanKindClient),
			trace.WithAttributes(attribute.String("server.address", try.Server)))
		for _, e := range []struct {
			name string
			at   time.Time
		}{{"connected", try.ConnectedAt}, {"first byte", try.FirstByteAt}} {
			if !e.at.IsZero() {
				span.AddEvent(e.name, trace.WithTimestamp(e.at))
			}
		}
		if try.Failure != "" {
			span.SetStatus(codes.Error, try.Failure)
		}
		span.End(trace.WithTimestamp(end))
	}
}
