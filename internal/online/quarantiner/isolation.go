package quarantiner

import "time"

// isolationTime is how long a suspect may hold an upstream. If its VM is lost, no other
// suspect may run there for that long.
const isolationTime = 30 * time.Second

// Isolation records which suspect runs on each upstream that a VM owns, so that no two
// run there at the same time, whichever VMs received them. It is not safe for concurrent
// use.
type Isolation struct {
	runs map[string]isolatedRun
}

type isolatedRun struct {
	fingerprint Fingerprint
	until       time.Time
}

// NewIsolation returns an Isolation without suspects.
func NewIsolation() *Isolation { return &Isolation{runs: map[string]isolatedRun{}} }

// Acquire lets a suspect run on an upstream, unless another suspect does. It returns
// whether the suspect may run.
func (i *Isolation) Acquire(upstream string, f Fingerprint, now time.Time) bool {
	current, found := i.runs[upstream]
	if found && current.fingerprint != f && now.Before(current.until) {
		return false
	}
	i.runs[upstream] = isolatedRun{fingerprint: f, until: now.Add(isolationTime)}
	return true
}

// Release records that a suspect's run has ended.
func (i *Isolation) Release(upstream string, f Fingerprint) {
	if i.runs[upstream].fingerprint == f {
		delete(i.runs, upstream)
	}
}
