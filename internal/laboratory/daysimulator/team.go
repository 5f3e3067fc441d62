package daysimulator

import (
	"fmt"
	"time"
)

// Teams holds what the streams of a day belong to.
type Teams struct {
	// Number is the number of teams that ask equally much, beside the hot one; 0 for no teams.
	Number int
	// HotFactor is how many times as much as another team the hot team asks; 0 for no hot team.
	HotFactor int
	// MixedUrgency makes every other stream, at random, less urgent.
	MixedUrgency bool
}

// hotTeam is the number of the hot team; the others follow.
const hotTeam = 0

// stream is an online request.
type stream struct {
	vm        *vm
	arrivedAt time.Duration
	work      *request
	avoid     map[string]bool // engines that have rejected it
	engine    *engine         // that it was sent to last
	team      int
	urgency   int // 0 is the most urgent
}

// teamName returns the name of the stream's team, or "" on a day without teams.
func (s *simulator) teamName(st *stream) string {
	if s.day.Teams.Number == 0 {
		return ""
	}
	return fmt.Sprintf("team-%03d", st.team)
}

// drawTeam draws the team and the urgency of a stream. It draws nothing on a day without teams.
func (s *simulator) drawTeam(st *stream) {
	teams := s.day.Teams
	if teams.Number > 0 {
		draw := s.random.IntN(teams.Number + teams.HotFactor)
		st.team = max(hotTeam, draw-teams.HotFactor+1)
	}
	if teams.MixedUrgency {
		st.urgency = s.random.IntN(2)
	}
}

// Share counts streams of a kind, and those among them whose first event met the latency
// target.
type Share struct {
	Streams int
	OnTime  int
}

// OnTimeShare returns the share of the streams that met the latency target.
func (s Share) OnTimeShare() float64 { return share(s.OnTime, s.Streams) }

func (s *simulator) countStream(st *stream) {
	for _, count := range s.sharesOf(st) {
		count.Streams++
	}
}

func (s *simulator) countOnTime(st *stream) {
	for _, count := range s.sharesOf(st) {
		count.OnTime++
	}
}

// sharesOf returns the counts of a stream's team and urgency.
func (s *simulator) sharesOf(st *stream) []*Share {
	team, urgency := &s.result.Others, &s.result.Urgent
	if s.day.Teams.HotFactor > 0 && st.team == hotTeam {
		team = &s.result.Hot
	}
	if st.urgency > 0 {
		urgency = &s.result.LessUrgent
	}
	return []*Share{team, urgency}
}
