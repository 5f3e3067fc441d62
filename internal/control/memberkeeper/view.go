package memberkeeper

import (
	"maps"
	"slices"
	"time"
)

const (
	// silenceLimit is how long a VM that sends reports may be silent until it is taken for lost: three times the longest
	// interval between two reports.
	silenceLimit = 4 * time.Second
	// aliveWindow is the time in which changes of rows are counted to estimate how many VMs are alive. By the time
	// at which lost VMs are silent, their last changes don't count any more.
	aliveWindow = silenceLimit
)

// View is what this VM knows of the VMs that may take over work: those that are alive and not leaving, including this
// one.
type View struct {
	listed        []Member
	heard         []Member
	aliveInDomain int
}

// NewView returns a View.
func NewView(listed, heard []Member, aliveInDomain int) View {
	return View{listed: listed, heard: heard, aliveInDomain: aliveInDomain}
}

// Listed returns the VMs on the list. It is the same on all VMs, but has lost VMs for a while.
func (v View) Listed() []Member { return v.listed }

// Heard returns the VMs on the list without those whose reports have stopped. It has a lost VM for a few seconds
// if that sent reports to this one, else as long as the list. VMs that can't reach each other differ about it.
func (v View) Heard() []Member { return v.heard }

// AliveInDomain estimates the number of VMs of this VM's failure domain that are alive, also if their reports don't reach
// this one.
func (v View) AliveInDomain() int { return v.aliveInDomain }

// WithReports sets the function that returns whether another VM, in a fleet of a number of VMs, sends reports to this one
// at short intervals. Without it, no VM is taken for lost because of its silence.
func WithReports(reports func(vms int, m Member) bool) Option {
	return func(k *Keeper) { k.reports = reports }
}

// Hear records that a report of another VM has arrived.
func (k *Keeper) Hear(vm string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heardAt[vm] = now
}

// View returns what this VM knows of the VMs that may take over work.
func (k *Keeper) View(now time.Time) View {
	k.mu.Lock()
	defer k.mu.Unlock()
	var v View
	if !k.self.Leaving {
		v.listed, v.heard = append(v.listed, k.self), append(v.heard, k.self)
	}
	for _, vm := range slices.Sorted(maps.Keys(k.rows)) {
		s := k.rows[vm]
		if vm == k.self.VM || s.member.Leaving || !k.isLive(s, now) {
			continue
		}
		v.listed = append(v.listed, s.member)
		if !k.isSilent(s, now) {
			v.heard = append(v.heard, s.member)
		}
	}
	v.aliveInDomain = min(max(k.recentlyChanged(now), k.countInDomain(v.heard)), k.countInDomain(v.listed))
	return v
}

// countInDomain returns how many of some VMs are of this VM's failure domain.
func (k *Keeper) countInDomain(members []Member) int {
	n := 0
	for _, m := range members {
		if m.Domain == k.self.Domain {
			n++
		}
	}
	return n
}

// Silent returns the number of VMs on the list whose reports have stopped.
func (k *Keeper) Silent(now time.Time) int {
	v := k.View(now)
	return len(v.Listed()) - len(v.Heard())
}

// isSilent returns whether a VM that sends reports has given no sign of life for silenceLimit, neither by a report nor
// by a change of its row. The caller must hold mu.
func (k *Keeper) isSilent(s rowState, now time.Time) bool {
	if !k.reports(len(k.published)+1, s.member) {
		return false
	}
	return now.Sub(s.changedAt) > silenceLimit && now.Sub(k.heardAt[s.member.VM]) > silenceLimit
}

// recentlyChanged estimates the number of VMs of this VM's domain that are alive by the rows that have changed lately, as each
// live VM writes its row once in each refresh interval. The caller must hold mu.
func (k *Keeper) recentlyChanged(now time.Time) int {
	changed := 1 // this VM
	for vm, s := range k.rows {
		if vm != k.self.VM && s.member.Domain == k.self.Domain && now.Sub(s.changedAt) <= aliveWindow {
			changed++
		}
	}
	if interval := k.refreshInterval(); interval > aliveWindow {
		return int(int64(changed) * int64(interval) / int64(aliveWindow))
	}
	return changed
}
