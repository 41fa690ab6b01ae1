// Package bookingpb is the form of the booking's record, generated from booking.proto. To generate it anew: `go
// generate ./internal/idempotency/runlog/bookingpb`, with protoc (Debian's protobuf-compiler); the Go generator is a
// tool of this module.
package bookingpb

//go:generate go build -o ../../../../bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate protoc --plugin=../../../../bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative booking.proto
