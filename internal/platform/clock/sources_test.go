package clock

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wallClockUse matches expressions that read the wall clock, or that compare an instant of steady time with it.
var wallClockUse = regexp.MustCompile(`time\.Now\(\)\.(Round|Unix|UTC|Format|Truncate)|time\.Until\(`)

// moduleRoot is the module's root, relative to this package's folder.
const moduleRoot = "../../.."

// TestRequestPathReadsNoWallClock checks that the packages on the path of a request read the steady clock. Only this package may
// read the wall clock.
func TestRequestPathReadsNoWallClock(t *testing.T) {
	for _, folder := range []string{
		"internal/node", "internal/admission", "internal/frontend/resp", "internal/backend/runtime", "internal/backend/runtime/redelivery", "internal/backend/catalogue",
		"internal/backend/directory", "internal/frontend/connlimit", "internal/frontend/gracefulclose", "internal/handover", "internal/idempotency/keystore", "internal/idempotency/keystore/keystate",
		"internal/idempotency/compositejournal", "internal/idempotency/runlog", "internal/frontend/uwsgi", "internal/frontend/uwsgi/balancer", "internal/operatorapi", "internal/platform/reconfigure",
		"internal/platform/lograte", "internal/platform/latency", "internal/daemon", "cmd/sloehitch",
	} {
		files, err := filepath.Glob(filepath.Join(moduleRoot, folder, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("folder %s: found %d files, error %v", folder, len(files), err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") || strings.HasSuffix(file, "cmd/sloehitch/drain.go") { // drain.go is an operator's command, not part of the daemon
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for i, line := range strings.Split(string(text), "\n") {
				if found := wallClockUse.FindString(line); found != "" {
					t.Errorf("%s:%d: %s reads the wall clock, which may be stepped; use clock.System", file, i+1, found)
				}
			}
		}
	}
}
