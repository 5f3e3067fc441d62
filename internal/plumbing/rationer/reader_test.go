package rationer_test

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

func TestReadAll(t *testing.T) {
	const budgetBytes = 1 << 20
	expectRead := func(t *testing.T, bytes int, length int64, wantErr error) {
		t.Helper()
		budget := rationer.New(budgetBytes)
		reservation := budget.NewReservation()
		text := strings.Repeat("x", bytes)
		source := strings.NewReader(text)
		got, err := reservation.ReadAll(source, length)
		qt.Check(t, err, qt.ErrorIs, wantErr)
		if wantErr == nil {
			qt.Check(t, string(got) == text, qt.IsTrue, qt.Commentf("%d bytes", len(got)))
			qt.Check(t, budget.Available() <= budgetBytes-int64(bytes), qt.IsTrue)
		}
		qt.Check(t, source.Len(), qt.Equals, 0)
		reservation.Release()
		qt.Check(t, budget.Available(), qt.Equals, int64(budgetBytes))
	}
	t.Run("known length", func(t *testing.T) { expectRead(t, budgetBytes, budgetBytes, nil) })
	t.Run("unknown length", func(t *testing.T) { expectRead(t, 200<<10, -1, nil) })
	t.Run("nothing", func(t *testing.T) { expectRead(t, 0, -1, nil) })
	t.Run("known length without memory", func(t *testing.T) {
		expectRead(t, budgetBytes+1, budgetBytes+1, rationer.ErrExhausted)
	})
	t.Run("unknown length without memory", func(t *testing.T) {
		expectRead(t, budgetBytes, -1, rationer.ErrExhausted)
	})
	t.Run("cut off", func(t *testing.T) { expectRead(t, 10, 20, io.ErrUnexpectedEOF) })
}
