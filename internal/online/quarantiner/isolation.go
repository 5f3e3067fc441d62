package quarantiner

import "time"

// isolationTime is how long a suspect may run alone. A VM that is lost with a
// suspect leaves the upstream closed to others for that long.
const isolationTime = 30 * time.Second

// Isolation keeps which suspect runs on each upstream that a VM looks after, so that
// no two run there at a time, whichever VMs they came through.
type Isolation struct {
	runs map[string]run
}

type run struct {
	fingerprint Fingerprint
	until       time.Time
}

// NewIsolation returns an isolation without suspects.
func NewIsolation() *Isolation { return &Isolation{runs: map[string]run{}} }

// Acquire lets a suspect run on an upstream, unless another one does.
func (i *Isolation) Acquire(upstream string, f Fingerprint, now time.Time) bool {
	taken, found := i.runs[upstream]
	if found && taken.fingerprint != f && now.Before(taken.until) {
		return false
	}
	i.runs[upstream] = run{fingerprint: f, until: now.Add(isolationTime)}
	return true
}

// Release notes that a suspect's run is over.
func (i *Isolation) Release(upstream string, f Fingerprint) {
	if i.runs[upstream].fingerprint == f {
		delete(i.runs, upstream)
	}
}
