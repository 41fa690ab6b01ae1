package clock

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestShare: a process that starts after the wall clock was stepped reads the same instants as the one before it.
func TestShare(t *testing.T) {
	before := processReference.Load()
	defer processReference.Store(before)
	path := filepath.Join(t.TempDir(), "clock")
	if err := ShareReference(path); err != nil {
		t.Fatal(err)
	}
	first := System{}.Now()
	setReference(time.Now(), time.Hour) // as a process would that starts an hour ahead
	if (System{}).Now().Sub(first) < 59*time.Minute {
		t.Fatal("not stepped: the test shows nothing")
	}
	if err := ShareReference(path); err != nil {
		t.Fatal(err)
	}
	if apart := (System{}).Now().Sub(first); apart < 0 || apart > time.Minute {
		t.Errorf("%v apart", apart)
	}
	left, err := os.ReadDir(filepath.Dir(path))
	if err != nil || len(left) != 1 {
		t.Errorf("%v, %v: only the file is to stay", left, err)
	}
}

// TestShareWhatIsThere: a line of an earlier boot is replaced, one that is not whole errs and leaves steady time as it is.
func TestShareWhatIsThere(t *testing.T) {
	before := processReference.Load()
	defer processReference.Store(before)
	path := filepath.Join(t.TempDir(), "clock")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("another-boot 5\n")
	at := System{}.Now()
	if err := ShareReference(path); err != nil || (System{}).Now().Sub(at).Abs() > time.Minute {
		t.Errorf("%v: taken from an earlier boot", err)
	}
	if line, err := readReference(path); err != nil || line.boot == "another-boot" {
		t.Errorf("%+v, %v: not replaced", line, err)
	}
	for _, text := range []string{"", "boot", "boot 5", "boot x\n"} {
		write(text)
		if err := ShareReference(path); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%q: %v, want an error that names the file", text, err)
		}
	}
	if (System{}).Now().Sub(at).Abs() > time.Minute {
		t.Error("an error changed steady time")
	}
}
