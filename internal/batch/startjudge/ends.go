package startjudge

import (
	"maps"
	"time"
)

// heardEnd is when the end of a job was first and last reported to this VM, or shown by the store.
type heardEnd struct {
	first time.Time
	last  time.Time
}

// Ends has the jobs, run here or not, of whose end this VM has heard in the last maxRenewalAge.
// Evidence that is older than that doesn't count anyway.
//
// A report is a hint: it makes all that was known before of the job count for nothing, and what the
// store says to an attempt that began after it counts again.
type Ends map[string]heardEnd

// Record records that an end was heard, and returns whether it is the first report.
func (e Ends) Record(id string, now time.Time) (first bool) {
	end, known := e[id]
	if !known {
		end.first = now
	}
	end.last = now
	e[id] = end
	return !known
}

// Expire forgets ends that were last heard more than maxRenewalAge ago.
func (e Ends) Expire(now time.Time) {
	maps.DeleteFunc(e, func(_ string, end heardEnd) bool { return now.Sub(end.last) > maxRenewalAge })
}

// FirstHeard returns when the end of a job was first heard, or zero if it wasn't.
func (e Ends) FirstHeard(id string) time.Time { return e[id].first }

// LastHeard returns when the end of a job was last heard, or zero if it wasn't.
func (e Ends) LastHeard(id string) time.Time { return e[id].last }
