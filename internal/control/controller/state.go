package controller

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// MemberSnapshot is a VM of the failure domain in a StateSnapshot.
type MemberSnapshot struct {
	VM    string `json:"vm"`
	State string `json:"state"`
}

// UpstreamSnapshot is an upstream of the current view in a StateSnapshot.
type UpstreamSnapshot struct {
	ID       string  `json:"id"`
	Domain   string  `json:"domain"`
	Owner    string  `json:"keeper"`
	Online   int     `json:"online"`
	Others   int     `json:"others"`
	Batch    int     `json:"batch"`
	Leaving  bool    `json:"leaving"`
	Usable   bool    `json:"usable"`
	Slowness float64 `json:"slowness"`
}

// StateSnapshot is the state of a VM for diagnostics by operators.
type StateSnapshot struct {
	VM             string             `json:"vm"`
	Domain         string             `json:"domain"`
	Region         string             `json:"region"`
	Ready          bool               `json:"ready"`
	Reason         string             `json:"reason,omitempty"`
	ConfigVersion  uint64             `json:"configVersion"`
	ConfigDigest   string             `json:"configDigest"`
	ConfigReader   bool               `json:"configReader"`
	StoreAvailable bool               `json:"storeAvailable"`
	Suspects       int                `json:"suspects"`
	Chunks         int                `json:"chunks"`
	Members        []MemberSnapshot   `json:"members"`
	Upstreams      []UpstreamSnapshot `json:"upstreams"`
}

// State returns a snapshot of the VM's state. It returns the context's error if the
// context ends before the control goroutine replies.
func (c *Controller) State(ctx context.Context) (StateSnapshot, error) {
	reply := make(chan StateSnapshot, 1)
	c.loop.Post(func(now time.Time) { reply <- c.snapshot(now) })
	select {
	case snapshot := <-reply:
		return snapshot, nil
	case <-ctx.Done():
		return StateSnapshot{}, ctx.Err()
	}
}

func (c *Controller) snapshot(now time.Time) StateSnapshot {
	view := c.Publisher.View()
	ready, reason := view.Ready()
	snapshot := StateSnapshot{
		VM: c.Location.VM, Domain: c.Location.Domain, Region: c.Location.Region, Ready: ready, Reason: reason,
		ConfigVersion: view.Config().Version(), ConfigDigest: view.Config().Digest(),
		ConfigReader: c.config.core.IsReader(), StoreAvailable: c.Store.Available(),
		Suspects: c.Quarantine.Len(), Chunks: c.batchWork.core.Owned(),
		Members: []MemberSnapshot{}, Upstreams: []UpstreamSnapshot{},
	}
	for _, m := range c.members.live() {
		snapshot.Members = append(snapshot.Members, MemberSnapshot{VM: m.VM(), State: m.State().String()})
	}
	for target := range view.Targets {
		for u := range target.Pool().All {
			g := u.Gauge()
			snapshot.Upstreams = append(snapshot.Upstreams, UpstreamSnapshot{
				ID: u.ID(), Domain: u.Domain(), Owner: u.Owner(), Online: g.Online(), Others: g.PeerOnline(),
				Batch: g.Batch(), Leaving: g.Draining(), Usable: g.Usable(now),
				Slowness: target.Pool().Slowness(u, now),
			})
		}
	}
	slices.SortFunc(snapshot.Upstreams, func(a, b UpstreamSnapshot) int { return cmp.Compare(a.ID, b.ID) })
	return snapshot
}
