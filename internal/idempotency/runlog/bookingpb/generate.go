// Package bookingpb contains the protobuf messages of run records, generated from booking.proto. To regenerate it,
// run `go generate ./internal/idempotency/runlog/bookingpb` with protoc (Debian's protobuf-compiler) installed; the
// Go generator is a tool of this module.
package bookingpb

//go:generate go build -o ../../../../bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate protoc --plugin=../../../../bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative booking.proto
