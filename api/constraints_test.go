package api

import (
	"errors"
	"testing"
)

func TestParsePlacementConstraintsNamesInvalidField(t *testing.T) {
	for body, want := range map[string]string{
		`{}`: "", `{"near":null,"survive":null}`: "",
		`{"near":{"level":"rack"}}`:                               "",
		`{"survive":{"level":"switch","share":0.5,"must":false}}`: "",
		`{"near":"rack"}`:                                         "near",
		`{"near":{"level":"row"}}`:                                "near.level",
		`{"near":{"level":"rack","at_most":2}}`:                   "near",
		`{"near":{"level":"rack","musst":false}}`:                 "near",
		`{"survive":{"level":"rack"}}`:                            "survive",
		`{"survive":{"level":"rack","at_most":2,"share":0.5}}`:    "survive",
		`{"survive":{"level":"rack","at_most":0}}`:                "survive.at_most",
		`{"survive":{"level":"rack","share":1.5}}`:                "survive.share",
	} {
		_, _, err := ParsePlacementConstraints([]byte(body), 9)
		got := ""
		if fieldError, ok := errors.AsType[*FieldError](err); ok {
			got = fieldError.Field
		} else if err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%s: %q, want %q", body, got, want)
		}
	}
	near, survive, err := ParsePlacementConstraints([]byte(`{"near":{"level":"switch","must":false},"survive":{"level":"rack","share":0.25}}`), 9)
	if err != nil || *near != (Near{"switch", false}) || *survive != (Survive{"rack", 2, true}) {
		t.Errorf("%+v %+v %v", near, survive, err)
	}
}
