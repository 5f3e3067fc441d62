package batchkeeper

import "fmt"

// Caller is who submits a job or makes a call on one. The zero value is a caller of a configuration without
// teams, who may use all jobs.
type Caller struct {
	// HasTeams is whether callers are identified by keys.
	HasTeams bool
	// Team is the name of the caller's team; empty if the route is public and the caller has no key.
	Team string
}

// authorize returns ErrNotFound, as for a job that doesn't exist, if a job belongs to another team. A job
// without a team is everyone's: its route was public, or a release without teams has accepted it.
func (c Caller) authorize(record *Record) error {
	if c.HasTeams && record.Team != "" && record.Team != c.Team {
		return fmt.Errorf("%w: %s", ErrNotFound, record.ID)
	}
	return nil
}
