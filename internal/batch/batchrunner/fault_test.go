package batchrunner_test

import (
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// outage is a store that does nothing.
func outage(rowemulator.Call) (bool, error) { return false, rowstore.ErrNotDone }
