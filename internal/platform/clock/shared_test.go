package clock

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestShareReferenceSurvivesWallClockStep checks that a process that starts after a step of the wall clock reads the same steady
// time as the one before it.
func TestShareReferenceSurvivesWallClockStep(t *testing.T) {
	before := processReference.Load()
	defer processReference.Store(before)
	path := filepath.Join(t.TempDir(), "clock")
	if err := ShareReference(path); err != nil {
		t.Fatal(err)
	}
	first := System{}.Now()
	setReference(time.Now(), time.Hour) // as in a process that starts with its wall clock an hour ahead
	if (System{}).Now().Sub(first) < 59*time.Minute {
		t.Fatal("steady time was not stepped, so the test proves nothing")
	}
	if err := ShareReference(path); err != nil {
		t.Fatal(err)
	}
	if difference := (System{}).Now().Sub(first); difference < 0 || difference > time.Minute {
		t.Errorf("steady time differs by %v between the processes", difference)
	}
	files, err := os.ReadDir(filepath.Dir(path))
	if err != nil || len(files) != 1 {
		t.Errorf("files in the folder: %v, %v; want the clock file only", files, err)
	}
}

// TestShareReferenceReplacesOldAndRejectsMalformed checks that a reference of an earlier boot is replaced, and that a malformed one
// is an error and does not change steady time.
func TestShareReferenceReplacesOldAndRejectsMalformed(t *testing.T) {
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
		t.Errorf("%v, or a reference of an earlier boot was adopted", err)
	}
	if reference, err := readReference(path); err != nil || reference.boot == "another-boot" {
		t.Errorf("reference of an earlier boot was not replaced: %+v, %v", reference, err)
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
