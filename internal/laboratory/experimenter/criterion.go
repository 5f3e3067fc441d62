package experimenter

import "fmt"

// Criterion is an acceptance criterion and the value that a run measured for it.
type Criterion struct {
	Name string  `json:"name"`
	Want string  `json:"want"`
	Got  float64 `json:"got"`
	Met  bool    `json:"reached"`
}

// atMost returns a criterion with an inclusive upper limit.
func atMost(name string, limit, got float64) Criterion {
	return Criterion{Name: name, Want: fmt.Sprintf("at most %g", limit), Got: got, Met: got <= limit}
}

// atLeast returns a criterion with an inclusive lower limit.
func atLeast(name string, limit, got float64) Criterion {
	return Criterion{Name: name, Want: fmt.Sprintf("at least %g", limit), Got: got, Met: got >= limit}
}
