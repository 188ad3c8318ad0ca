package api

import (
	"encoding/json"
	"errors"
	"testing"
)

func validSubmission() map[string]any {
	return map[string]any{"name_id": "run-000412", "jobclass": "train", "owner": "vision", "shape": "sweep", "rank": "high", "parts": 16,
		"cores": 8.0, "cards": 1.0, "ram_gb": 64.0, "bundle": "img-07", "size_gb": 6.2, "hulls": []string{"g8"}, "berth": nil,
		"together": true, "apart": false, "standby": true, "expect_s": 240.0, "snapshot_s": 30.0, "stow_s": 4.0, "due_s": 900.0}
}

func TestParseSubmissionReadsValidJob(t *testing.T) {
	fields := validSubmission()
	fields["more"] = "ignored"
	delete(fields, "berth")
	fields["due_s"] = nil
	raw, _ := json.Marshal(fields)
	submission, id, err := ParseSubmission(raw)
	if err != nil || id != "run-000412" || submission.Tasks != 16 || submission.Types[0] != "g8" {
		t.Errorf("%+v %q %v", submission, id, err)
	}
	// A submission is stored as JSON and must survive the round trip.
	encoded, _ := json.Marshal(submission)
	var decoded Submission
	if json.Unmarshal(encoded, &decoded) != nil || decoded.Team != "vision" || decoded.DeadlineS != 0 {
		t.Errorf("after the round trip: %+v", decoded)
	}
}

// The error names the field that is missing, of the wrong type or out of range.
func TestParseSubmissionNamesInvalidField(t *testing.T) {
	for field := range validSubmission() {
		if field == "hulls" || field == "berth" || field == "due_s" {
			continue
		}
		fields := validSubmission()
		delete(fields, field)
		expectFieldError(t, fields, field)
	}
	for _, test := range []struct {
		field string
		bad   any
	}{{"parts", 0}, {"parts", 100001}, {"parts", 1.5}, {"parts", "3"}, {"cores", -1}, {"cores", 0}, {"cores", "8"}, {"ram_gb", 1e300},
		{"rank", "urgent"}, {"shape", "herd"}, {"name_id", "job-1"}, {"name_id", 7}, {"together", 1}, {"hulls", "g8"}, {"hulls", []any{}},
		{"expect_s", -0.5}, {"berth", 4}, {"bundle", ""}} {
		fields := validSubmission()
		fields[test.field] = test.bad
		expectFieldError(t, fields, test.field)
	}
}

func expectFieldError(t *testing.T, fields map[string]any, field string) {
	t.Helper()
	raw, _ := json.Marshal(fields)
	_, id, err := ParseSubmission(raw)
	var fieldError *FieldError
	if !errors.As(err, &fieldError) || fieldError.Field != field {
		t.Errorf("%s: error %v, want a FieldError for this field", field, err)
	}
	if field != "name_id" && id != "run-000412" {
		t.Errorf("%s: the id was not returned with the error", field)
	}
}

func TestParseSubmissionRejectsNonObjects(t *testing.T) {
	for _, body := range []string{"", "{", "[]", "null", "3", `"x"`, `{"cores": 1e999}`} {
		if _, _, err := ParseSubmission([]byte(body)); err == nil {
			t.Errorf("%q was accepted", body)
		}
	}
}
