package chunkfinder

import (
	"context"
	"slices"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
)

const (
	// maxScannedJobs is the maximum number of open jobs in one scan.
	maxScannedJobs = 32
	// pageSize is the maximum number of chunk rows in one read.
	pageSize = 64
	// A scan reads no further page of a job after maxScannedChunks of its chunks, or
	// after maxFreeChunks chunks without an owner.
	maxScannedChunks = 256
	maxFreeChunks    = 64
	// maxCandidates is the number of candidates after which a scan reads no further
	// job.
	maxCandidates = 1024
)

// JobStore is the subset of jobkeeper.Keeper that a scan uses.
type JobStore interface {
	OpenJobs(ctx context.Context, model string, limit int) ([]jobkeeper.JobRow, error)
	ChunkPage(ctx context.Context, job string, from, limit int) ([]jobkeeper.Versioned[jobkeeper.ChunkRow], error)
	Leases(ctx context.Context, owners []jobkeeper.Owner) ([]uint64, error)
}

// Run reads the candidates of a scan from the store. To keep the number of reads
// low, it reads only the next unfinished chunks of each open job, and the leases
// of the owners of these chunks.
func (s Scan) Run(ctx context.Context, jobs JobStore) ScanResult {
	result := ScanResult{Model: s.Model, Cursors: map[string]int{}}
	open, err := jobs.OpenJobs(ctx, s.Model, maxScannedJobs)
	if err != nil {
		result.Err = err
		return result
	}
	for _, job := range open {
		if len(result.Candidates) >= maxCandidates {
			break
		}
		if err := result.addJob(ctx, jobs, job, s.Cursors[job.ID]); err != nil {
			result.Err = err
			return result
		}
	}
	result.Err = result.addLeases(ctx, jobs)
	return result
}

// addJob adds the unfinished chunks of a job, starting at the cursor, and advances
// the cursor past the chunks that are done.
func (r *ScanResult) addJob(ctx context.Context, jobs JobStore, job jobkeeper.JobRow, cursor int) error {
	freeChunks, scanned := 0, 0
	allDone := true
	r.Cursors[job.ID] = cursor
	for from := cursor; from < job.Chunks && freeChunks < maxFreeChunks && scanned < maxScannedChunks; from += pageSize {
		page, err := jobs.ChunkPage(ctx, job.ID, from, min(pageSize, job.Chunks-from))
		if err != nil {
			return err //nolint:wrapcheck // the Finder only checks whether there is an error
		}
		for i, row := range page {
			scanned++
			allDone = allDone && row.Value.Done
			if allDone {
				r.Cursors[job.ID] = from + i + 1
			}
			if row.Version == 0 || row.Value.Done {
				continue
			}
			if row.Value.Owner == (jobkeeper.Owner{}) {
				freeChunks++
			}
			ref := jobkeeper.ChunkRef{Job: job.ID, Number: from + i}
			r.Candidates = append(r.Candidates, Candidate{Job: job, Ref: ref, Owner: row.Value.Owner})
		}
	}
	return nil
}

// addLeases sets the version of the owner's lease in each candidate with an owner.
func (r *ScanResult) addLeases(ctx context.Context, jobs JobStore) error {
	var owners []jobkeeper.Owner
	for _, c := range r.Candidates {
		if c.Owner != (jobkeeper.Owner{}) && !slices.Contains(owners, c.Owner) {
			owners = append(owners, c.Owner)
		}
	}
	if len(owners) == 0 {
		return nil
	}
	versions, err := jobs.Leases(ctx, owners)
	if err != nil {
		return err //nolint:wrapcheck // the Finder only checks whether there is an error
	}
	for i := range r.Candidates {
		if at := slices.Index(owners, r.Candidates[i].Owner); at >= 0 {
			r.Candidates[i].Lease = versions[at]
		}
	}
	return nil
}
