//go:build !faults

package wallclock

import (
	"fmt"
	"os"
	"time"
)

// Check returns an error if the environment has steps, which this build does not support.
func Check() error {
	if os.Getenv(StepsVariable) != "" {
		return fmt.Errorf("%s is set, but this build does not inject faults; unset it, or build with -tags faults", StepsVariable)
	}
	return nil
}

// offset returns 0: this build injects no steps.
func offset() time.Duration { return 0 }
