package batchserver_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/faces/batchserver"
	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// secret is a key that must appear nowhere.
const secret = "s3cr3t"

// noRunner takes jobs over and doesn't run them.
type noRunner struct{}

func (noRunner) Adopt(_ batchkeeper.VersionedRecord, _ []batchkeeper.Item, reservation *rationer.Reservation) {
	reservation.Release()
}

// recorder records an answer to a request whose body is there.
type recorder struct{ *httptest.ResponseRecorder }

// SetReadDeadline is called through http.ResponseController.
func (recorder) SetReadDeadline(time.Time) error { return nil }

// site serves calls on jobs of two teams.
type site struct {
	t      *testing.T
	rows   *rowemulator.Store
	table  *router.Table
	keeper *batchkeeper.Keeper
	logger *slog.Logger
	log    bytes.Buffer
}

func newSite(t *testing.T, teams ...router.Team) *site {
	t.Helper()
	s := &site{t: t, rows: rowemulator.New(), table: router.NewTable(router.Configuration{
		Version: 1, Teams: teams, Limits: router.Limits{MaxBodyBytes: 1 << 20},
		Routes: []router.Route{{Name: "r", Host: "h", Prefix: "/b/", Kind: router.KindBatch, Retention: time.Minute}},
	})}
	s.logger = slog.New(slog.NewTextHandler(&s.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	s.keeper = batchkeeper.New(s.rows, batchkeeper.Owner{VM: "a", Boot: 1}, rowstore.MaxRowBytes, s.logger)
	return s
}

// serve answers a request in the name of a team, and returns the status and the answer.
func (s *site) serve(codec batchserver.Codec, team string, route *router.Route, body string) (status int, answer string) {
	s.t.Helper()
	request, err := standin.NewRequest(http.MethodPost, "http://vm/b/", "h", testJob, 0)
	qt.Assert(s.t, err, qt.IsNil)
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	standin.SetIdentity(request.Header, standin.WithKey(secret))
	about := gateway.JobContext{Table: s.table, Route: route}
	for i := range s.table.Teams() {
		if t := &s.table.Teams()[i]; t.Name == team {
			about.Team = t
		}
	}
	server := batchserver.New(codec, s.keeper, s.keeper, noRunner{}, s.table.Limits, rationer.New(64<<20),
		counter.New(metrics.NewSet()), s.logger)
	answered := httptest.NewRecorder()
	server.Serve(recorder{answered}, request, about)
	return answered.Code, fmt.Sprint(answered.Header(), answered.Body.String())
}

// submit submits a job in the name of a team and checks the status.
func (s *site) submit(team, body string, want int) {
	s.t.Helper()
	route, _ := s.table.RouteByName("r")
	status, _ := s.serve(platform.Codec{}, team, route, body)
	qt.Check(s.t, status, qt.Equals, want, qt.Commentf("submission of %s", team))
}

// call makes a call on a job in the name of a team, and returns the status and the answer.
func (s *site) call(team string, operation batchserver.Operation, id string) (status int, answer string) {
	s.t.Helper()
	codec := fixedCall{call: batchserver.Call{Operation: operation, Job: id, Item: testItem}}
	return s.serve(codec, team, nil, "")
}

// job is a job of one item, whose sender writes its key into the item too.
const job = `{"requests":[{"id":"` + testItem + `","path":"/b/x","headers":{"authorization":"Token ` + secret +
	`"},"body":"eA==","tokens":1}]}`

// contents returns all that the store holds of jobs.
func (s *site) contents() string {
	var all strings.Builder
	for _, table := range []string{"jobs", "jobContent", "jobAdmission"} {
		for n := range batchkeeper.Parts {
			for _, part := range []string{fmt.Sprintf("jobs-%02d", n), "jobAdmission"} {
				rows, _, err := s.rows.Range(s.t.Context(), table, part, "", "")
				qt.Assert(s.t, err, qt.IsNil)
				for _, row := range rows.Rows {
					all.WriteString(row.Name + string(row.Value))
				}
			}
		}
	}
	return all.String()
}

func TestKeysAreNeitherStoredNorLogged(t *testing.T) {
	s := newSite(t, router.Team{Name: "a"}, router.Team{Name: "b"})
	s.submit("a", job, http.StatusAccepted)
	s.submit("a", "{", http.StatusBadRequest)
	s.submit("b", job, http.StatusNotFound)
	qt.Check(t, s.contents(), qt.Contains, "/b/x")
	qt.Check(t, strings.Contains(strings.ToLower(s.contents()), secret), qt.IsFalse)
	qt.Check(t, s.log.String(), qt.Contains, "team=a")
	qt.Check(t, strings.Contains(strings.ToLower(s.log.String()), secret), qt.IsFalse)
}

func TestItemsAreStoredAsSentWithoutTeams(t *testing.T) {
	s := newSite(t)
	s.submit("", job, http.StatusAccepted)
	qt.Check(t, s.contents(), qt.Contains, "Token "+secret)
}

// Guards against: a team learns from any call that another team's job exists.
func TestCallsOnAnotherTeamsJob(t *testing.T) {
	s := newSite(t, router.Team{Name: "a"}, router.Team{Name: "b"})
	s.submit("a", job, http.StatusAccepted)
	calls := []batchserver.Operation{batchserver.OperationResults, batchserver.OperationBody, batchserver.OperationCancel}
	for _, call := range calls {
		status, answer := s.call("b", call, testJob)
		missing, want := s.call("b", call, "missing")
		qt.Check(t, status, qt.Equals, http.StatusNotFound)
		qt.Check(t, status, qt.Equals, missing)
		qt.Check(t, answer, qt.Equals, strings.ReplaceAll(want, "missing", testJob))
	}
	s.submit("a", job, http.StatusAccepted) // again
	for _, call := range calls {
		status, _ := s.call("a", call, testJob)
		qt.Check(t, status, qt.Equals, http.StatusOK)
	}
}
