package chunkfinder

import (
	"context"
	"slices"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
)

const (
	scanJobs     = 32
	scanPage     = 64
	scanPerJob   = 256
	scanEnough   = 64
	scanPerModel = 1024
)

// JobStore is the store of jobs as a scan needs it.
type JobStore interface {
	OpenJobs(ctx context.Context, model string, limit int) ([]jobkeeper.JobRow, error)
	ChunkPage(ctx context.Context, job string, from, limit int) ([]jobkeeper.Versioned[jobkeeper.ChunkRow], error)
	Leases(ctx context.Context, owners []jobkeeper.Owner) ([]uint64, error)
}

// Run carries out a scan. It reads as little as it can: the chunks that come
// next in each open job, and the leases of those that have an owner.
func (s Scan) Run(ctx context.Context, jobs JobStore) ScanResult {
	found := ScanResult{Model: s.Model, Cursors: map[string]int{}}
	open, err := jobs.OpenJobs(ctx, s.Model, scanJobs)
	if err != nil {
		found.Err = err
		return found
	}
	for _, job := range open {
		if len(found.Candidates) >= scanPerModel {
			break
		}
		if err := found.addJob(ctx, jobs, job, s.Cursors[job.ID]); err != nil {
			found.Err = err
			return found
		}
	}
	found.Err = found.addLeases(ctx, jobs)
	return found
}

// addJob adds a job's chunks that are not done, from a cursor on, and moves
// the cursor past those that are.
func (f *ScanResult) addJob(ctx context.Context, jobs JobStore, job jobkeeper.JobRow, cursor int) error {
	free, looked := 0, 0
	done := true
	f.Cursors[job.ID] = cursor
	for from := cursor; from < job.Chunks && free < scanEnough && looked < scanPerJob; from += scanPage {
		page, err := jobs.ChunkPage(ctx, job.ID, from, min(scanPage, job.Chunks-from))
		if err != nil {
			return err //nolint:wrapcheck // counted by the finder, never shown
		}
		for i, row := range page {
			looked++
			done = done && row.Value.Done
			if done {
				f.Cursors[job.ID] = from + i + 1
			}
			if row.Version == 0 || row.Value.Done {
				continue
			}
			if row.Value.Owner == (jobkeeper.Owner{}) {
				free++
			}
			ref := jobkeeper.ChunkRef{Job: job.ID, Number: from + i}
			f.Candidates = append(f.Candidates, Candidate{Job: job, Ref: ref, Owner: row.Value.Owner})
		}
	}
	return nil
}

func (f *ScanResult) addLeases(ctx context.Context, jobs JobStore) error {
	var owners []jobkeeper.Owner
	for _, c := range f.Candidates {
		if c.Owner != (jobkeeper.Owner{}) && !slices.Contains(owners, c.Owner) {
			owners = append(owners, c.Owner)
		}
	}
	if len(owners) == 0 {
		return nil
	}
	versions, err := jobs.Leases(ctx, owners)
	if err != nil {
		return err //nolint:wrapcheck // counted by the finder, never shown
	}
	for i := range f.Candidates {
		if at := slices.Index(owners, f.Candidates[i].Owner); at >= 0 {
			f.Candidates[i].Lease = versions[at]
		}
	}
	return nil
}
