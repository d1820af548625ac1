//go:build faults

package wallclock

import (
	"fmt"
	"os"
	"time"
)

var (
	start         = time.Now()
	steps, faulty = ParseSteps(os.Getenv(StepsVariable))
)

// Check tells what is wrong with the steps in the environment, if anything is.
func Check() error {
	if faulty != nil {
		return fmt.Errorf("%s: %w", StepsVariable, faulty)
	}
	return nil
}

// stepped is by how much the clock has been stepped.
func stepped() time.Duration { return sum(steps, time.Since(start)) }
