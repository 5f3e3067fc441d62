package batchrunner_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// Guards against: jobs that have used up the memory for items never end, as the outputs of their items
// need some too.
func TestItemsEndAlthoughJobsTakeAllMemory(t *testing.T) {
	longEvents := func(string, *http.Request) standin.Plan {
		return standin.Plan{Events: normalEvents, Gap: 10 * time.Millisecond, CommentBytes: 40 << 10}
	}
	inFleet(t, 1, longEvents, func(f *fleet) {
		f.memoryBytes = 1
		v := f.start("a")
		defer v.stop()
		f.submit(v, 2)
		f.expectResults(v, 10*time.Second, "item0 ok", "item1 ok")
	})
}
