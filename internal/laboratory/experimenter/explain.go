package experimenter

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/faces/operator"
)

// explain writes the trace of a request whose first token took longer than
// ExplainOver. The trace comes from the first VM that has one for the request.
func (b *bench) explain(id string, took time.Duration) {
	if b.p.Explain == nil || took < b.p.ExplainOver {
		return
	}
	for _, vm := range b.site.VMs {
		response, err := http.Get(vm.OperatorURL() + operator.PathTrace + id)
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			_, _ = fmt.Fprintf(b.p.Explain, "%v %s", took, text)
			return
		}
	}
}
