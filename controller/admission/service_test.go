package admission

import (
	"net/http"
	"testing"

	"switchferry/api"
)

func TestInfeasibleTopologyConstraintIsRefused(t *testing.T) {
	body := `{"near":{"level":"rack"},"survive":{"level":"rack","at_most":2}}`
	for shape, want := range map[string]int{api.Service: http.StatusUnprocessableEntity, api.Gang: http.StatusUnprocessableEntity, api.JobArray: 0} {
		if status, err := checkTopologyConstraints(&api.Submission{Shape: shape, Tasks: 3}, []byte(body)); status != want {
			t.Errorf("%s: %d %v, want %d", shape, status, err, want)
		}
	}
}
