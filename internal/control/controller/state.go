package controller

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// MemberText is a VM as the state shows it.
type MemberText struct {
	VM    string `json:"vm"`
	State string `json:"state"`
}

// UpstreamText is an upstream that this VM knows, as the state shows it.
type UpstreamText struct {
	ID       string  `json:"id"`
	Domain   string  `json:"domain"`
	Keeper   string  `json:"keeper"`
	Online   int     `json:"online"`
	Others   int     `json:"others"`
	Batch    int     `json:"batch"`
	Leaving  bool    `json:"leaving"`
	Usable   bool    `json:"usable"`
	Slowness float64 `json:"slowness"`
}

// StateText is the state of a VM, for people on call.
type StateText struct {
	VM             string         `json:"vm"`
	Domain         string         `json:"domain"`
	Region         string         `json:"region"`
	Ready          bool           `json:"ready"`
	Reason         string         `json:"reason,omitempty"`
	ConfigVersion  uint64         `json:"configVersion"`
	ConfigDigest   string         `json:"configDigest"`
	ConfigReader   bool           `json:"configReader"`
	StoreAvailable bool           `json:"storeAvailable"`
	Suspects       int            `json:"suspects"`
	Chunks         int            `json:"chunks"`
	Members        []MemberText   `json:"members"`
	Upstreams      []UpstreamText `json:"upstreams"`
}

// State returns the state of the VM. It fails if the control goroutine doesn't
// answer before the context ends.
func (c *Controller) State(ctx context.Context) (StateText, error) {
	answer := make(chan StateText, 1)
	c.loop.Post(func(now time.Time) { answer <- c.state(now) })
	select {
	case text := <-answer:
		return text, nil
	case <-ctx.Done():
		return StateText{}, ctx.Err()
	}
}

func (c *Controller) state(now time.Time) StateText {
	view := c.Publisher.View()
	ready, reason := view.Ready()
	text := StateText{
		VM: c.Location.VM, Domain: c.Location.Domain, Region: c.Location.Region, Ready: ready, Reason: reason,
		ConfigVersion: view.Config().Version(), ConfigDigest: view.Config().Digest(),
		ConfigReader: c.config.core.IsReader(), StoreAvailable: c.Store.Available(),
		Suspects: c.Quarantine.Len(), Chunks: c.work.core.Owned(),
		Members: []MemberText{}, Upstreams: []UpstreamText{},
	}
	for _, m := range c.members.live() {
		text.Members = append(text.Members, MemberText{VM: m.VM(), State: m.State().String()})
	}
	for target := range view.Targets {
		for u := range target.Pool().All {
			g := u.Gauge()
			text.Upstreams = append(text.Upstreams, UpstreamText{
				ID: u.ID(), Domain: u.Domain(), Keeper: u.Keeper(), Online: g.Online(), Others: g.PeerOnline(),
				Batch: g.Batch(), Leaving: g.Draining(), Usable: g.Usable(now),
				Slowness: target.Pool().Slowness(u, now),
			})
		}
	}
	slices.SortFunc(text.Upstreams, func(a, b UpstreamText) int { return cmp.Compare(a.ID, b.ID) })
	return text
}
