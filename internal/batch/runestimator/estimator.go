// Package runestimator estimates the running time and the output of batch items from those that are complete.
package runestimator

import "time"

const (
	// initialRunTime is the running time that is assumed until an item is complete.
	initialRunTime = 5 * time.Second
	// weight is that of a newly completed item in the means.
	weight = 0.1
)

// Estimator has exponentially weighted means of the items that this VM has completed.
type Estimator struct {
	meanRunTime     time.Duration // total running time of an item
	meanOutputBytes float64       // output of an item
}

// Record updates the means with a completed item and the size of its output.
func (e *Estimator) Record(run time.Duration, outputBytes int) {
	if e.meanRunTime == 0 {
		e.meanRunTime, e.meanOutputBytes = run, float64(outputBytes)
		return
	}
	e.meanRunTime += time.Duration(weight * float64(run-e.meanRunTime))
	e.meanOutputBytes += weight * (float64(outputBytes) - e.meanOutputBytes)
}

// RunTime returns the expected running time of a complete item.
func (e *Estimator) RunTime() time.Duration {
	if e.meanRunTime == 0 {
		return initialRunTime
	}
	return e.meanRunTime
}

// Fraction returns the fraction of a complete item that an output of so many bytes is, from 0 to 1.
func (e *Estimator) Fraction(outputBytes int) float64 {
	if e.meanRunTime == 0 {
		return 0
	}
	return min(float64(outputBytes)/max(e.meanOutputBytes, 1), 1)
}
