package clock

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wallReading is what reads the wall clock, or compares an instant of steady time with it.
var wallReading = regexp.MustCompile(`time\.Now\(\)\.(Round|Unix|UTC|Format|Truncate)|time\.Until\(`)

// root is the top folder of the module, from this package's.
const root = "../../.."

// TestNoWallClockInTheCore: the packages through which requests go read the steady clock; only this package reads the wall clock.
func TestNoWallClockInTheCore(t *testing.T) {
	for _, folder := range []string{
		"internal/node", "internal/admission", "internal/frontend/resp", "internal/backend/runtime", "internal/backend/runtime/redelivery", "internal/backend/catalogue",
		"internal/backend/directory", "internal/frontend/connlimit", "internal/frontend/gracefulclose", "internal/handover", "internal/idempotency/keystore", "internal/idempotency/keystore/keystate",
		"internal/idempotency/compositejournal", "internal/idempotency/runlog", "internal/frontend/uwsgi", "internal/frontend/uwsgi/balancer", "internal/operatorapi", "internal/platform/reconfigure",
		"internal/platform/lograte", "internal/platform/latency", "internal/daemon", "cmd/sloehitch",
	} {
		files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", folder, len(files), err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") || strings.HasSuffix(file, "cmd/sloehitch/drain.go") { // the latter is an operator's command, not the daemon
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for i, line := range strings.Split(string(text), "\n") {
				if found := wallReading.FindString(line); found != "" {
					t.Errorf("%s:%d: %s reads the wall clock, which may be stepped: take clock.System", file, i+1, found)
				}
			}
		}
	}
}
