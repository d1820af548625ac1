//go:build faults

package wallclock

import (
	"fmt"
	"os"
	"time"
)

var (
	start           = time.Now()
	steps, parseErr = ParseSteps(os.Getenv(StepsVariable))
)

// Check returns the error, if any, of the steps in the environment.
func Check() error {
	if parseErr != nil {
		return fmt.Errorf("%s: %w", StepsVariable, parseErr)
	}
	return nil
}

// offset returns the sum of the steps so far.
func offset() time.Duration { return offsetAfter(steps, time.Since(start)) }
