package jobrunner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobrunner"
)

// starts returns the number of items that actions start.
func starts(actions []jobrunner.Action) int {
	n := 0
	for _, action := range actions {
		if _, isStart := action.(jobrunner.Start); isStart {
			n++
		}
	}
	return n
}

// Guards against: the answer to a check that began before the VM stood still counts as what the store says
// now, so that items start long after their job was cancelled.
func TestAnswerToACheckCountsFromItsBeginning(t *testing.T) {
	const pause = time.Minute
	began := time.Unix(10_000, 0)
	resumed := began.Add(pause)
	ref := jobkeeper.ChunkRef{Job: "j"}
	job := jobkeeper.JobRow{ID: "j", Model: model, State: jobkeeper.StateInProgress, Deadline: began.Add(time.Hour)}
	capacity := func(limit int) []jobrunner.Capacity {
		return []jobrunner.Capacity{{Upstream: "u", Model: model, Limit: limit}}
	}
	r := jobrunner.New(jobkeeper.Owner{VM: "a"})
	r.Offered([]jobrunner.Offer{{Ref: ref}}, began)
	r.Claimed(ref, jobkeeper.Claim{Ref: ref}, job, nil)
	r.Loaded(ref, []jobkeeper.Item{{CustomID: "i"}}, nil, began)
	r.SetCapacities(capacity(0), began)
	r.Tick(began) // begins a check, which the store answers; then the VM stands still

	r.Checked([]jobkeeper.JobRow{job}, nil, resumed)
	qt.Check(t, starts(r.SetCapacities(capacity(1), resumed)), qt.Equals, 0)

	r.Tick(resumed) // begins another one
	r.Checked([]jobkeeper.JobRow{job}, nil, resumed.Add(time.Second))
	qt.Check(t, starts(r.Tick(resumed.Add(time.Second))), qt.Equals, 1)
}

// Guards against: the answer to a claim that began before the VM stood still counts as what the store says now,
// so that items start long after their job was cancelled.
func TestAnswerToAClaimCountsFromItsBeginning(t *testing.T) {
	began := time.Unix(10_000, 0)
	resumed := began.Add(time.Minute)
	ref := jobkeeper.ChunkRef{Job: "j"}
	job := jobkeeper.JobRow{ID: "j", Model: model, State: jobkeeper.StateInProgress, Deadline: began.Add(time.Hour)}
	r := jobrunner.New(jobkeeper.Owner{VM: "a"})
	r.Offered([]jobrunner.Offer{{Ref: ref}}, began) // begins the claim, which the store answers; then the VM stands still

	r.Claimed(ref, jobkeeper.Claim{Ref: ref}, job, nil)
	r.Loaded(ref, []jobkeeper.Item{{CustomID: "i"}}, nil, resumed)
	capacities := []jobrunner.Capacity{{Upstream: "u", Model: model, Limit: 1}}
	qt.Check(t, starts(r.SetCapacities(capacities, resumed)), qt.Equals, 0)
}
