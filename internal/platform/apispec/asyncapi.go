package apispec

import (
	_ "embed"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v4"
)

// PlatformAsyncAPI describes the platform's messages.
//
//go:embed platform.asyncapi.yaml
var PlatformAsyncAPI []byte

// Message is the description of a message.
type Message struct {
	Summary  string
	Examples []any
	schema   *jsonschema.Schema
}

// Validate returns an error if payload does not match the message's schema.
func (m *Message) Validate(payload any) error { return m.schema.Validate(payload) }

// document holds the parts of an AsyncAPI document that Messages reads. Payloads are JSON Schemas.
type document struct {
	AsyncAPI   string `yaml:"asyncapi"`
	Components struct {
		Messages map[string]struct {
			Summary  string
			Payload  any
			Examples []struct{ Payload any }
		}
	}
}

// Messages parses an AsyncAPI document and returns its messages by name. It validates each example against its message's schema.
func Messages(text []byte) (map[string]*Message, error) {
	var doc document
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, err
	}
	if doc.AsyncAPI != "3.0.0" {
		return nil, fmt.Errorf("AsyncAPI version %q is not supported, only 3.0.0", doc.AsyncAPI)
	}
	messages := map[string]*Message{}
	for _, name := range slices.Sorted(maps.Keys(doc.Components.Messages)) {
		described := doc.Components.Messages[name]
		compiler := jsonschema.NewCompiler()
		location := "message:" + name
		if err := compiler.AddResource(location, described.Payload); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		schema, err := compiler.Compile(location)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		m := &Message{Summary: described.Summary, schema: schema}
		for _, example := range described.Examples {
			if err := m.Validate(example.Payload); err != nil {
				return nil, fmt.Errorf("%s: example: %w", name, err)
			}
			m.Examples = append(m.Examples, example.Payload)
		}
		messages[name] = m
	}
	if len(messages) == 0 {
		return nil, errors.New("AsyncAPI document has no messages")
	}
	return messages, nil
}
