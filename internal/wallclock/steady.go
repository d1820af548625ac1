//go:build !faults

package wallclock

import (
	"fmt"
	"os"
	"time"
)

// Check tells that this build has no faults, if it is told of some.
func Check() error {
	if os.Getenv(StepsVariable) != "" {
		return fmt.Errorf("%s is set, and this build injects no faults; remove it, or build with -tags faults", StepsVariable)
	}
	return nil
}

// stepped is by how much the clock has been stepped.
func stepped() time.Duration { return 0 }
