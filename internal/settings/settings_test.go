package settings

import (
	"encoding/json"
	"testing"

	"sloehitch/internal/standin"
	"sloehitch/logic"
)

func read(t *testing.T, text string) (logic.Settings, *Vocabulary, error) {
	t.Helper()
	var object map[string]any
	if err := json.Unmarshal([]byte(text), &object); err != nil {
		t.Fatal(err)
	}
	return Parse(Flatten(object))
}

func TestNestedSettings(t *testing.T) {
	s, v, err := read(t, standin.Settings)
	if err != nil {
		t.Fatal(err)
	}
	if v.Classes["book"] != 1 || v.Tenants["acme"] != 0 || len(v.Meters) != 4 || v.Meters[1] != "on_cores" {
		t.Errorf("names %+v", v)
	}
	b := s.Classes[1]
	if b.Effect != logic.Keyed || b.Window != 90000000 || b.Worth != 3 || !b.Calls || b.DegradedWorth != 0 || s.Classes[0].DegradedWorth != 0.6 {
		t.Errorf("classes %+v", s.Classes)
	}
	if s.Cores != 2 || s.Stop != logic.StopFreeze || s.Signal != logic.SignalFloor || s.MaxAdvice != 1000000 || s.AnswerGrace != 80000 {
		t.Errorf("settings %+v", s)
	}
}

func TestBadSettings(t *testing.T) {
	for _, text := range []string{
		`{"classes":[{"name":"a","semantics":"sometimes"}]}`,
		`{"domain":{"cores":-1}}`,
		`{"tick":"soon"}`,
		`{"classes.count":5}`,
	} {
		if _, _, err := read(t, text); err == nil {
			t.Errorf("%s: no error", text)
		}
	}
}
