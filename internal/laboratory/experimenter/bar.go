package experimenter

import "fmt"

// Criterion is a promise that an experiment measures.
type Criterion struct {
	Name string  `json:"name"`
	Want string  `json:"want"`
	Got  float64 `json:"got"`
	Met  bool    `json:"reached"`
}

// atMost returns a bar that a figure must not pass.
func atMost(name string, limit, got float64) Criterion {
	return Criterion{Name: name, Want: fmt.Sprintf("at most %g", limit), Got: got, Met: got <= limit}
}

// atLeast returns a bar that a figure must reach.
func atLeast(name string, limit, got float64) Criterion {
	return Criterion{Name: name, Want: fmt.Sprintf("at least %g", limit), Got: got, Met: got >= limit}
}
