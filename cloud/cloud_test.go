package cloud

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"switchferry/api"
)

type scriptedTransport func(r *http.Request) (int, string)

func (transport scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	status, body := transport(r)
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// Rent distinguishes refusals, outages and malformed responses.
func TestRentDistinguishesErrors(t *testing.T) {
	ctx := t.Context()
	for _, test := range []struct {
		status       int
		body         string
		want         error
		wantMachines int
	}{
		{200, `{"hosts":["n-1","n-2"]}`, nil, 2},
		{503, `{"error":"no capacity"}`, ErrNoCapacity, 0},
		{503, `{"error":"trouble"}`, ErrOutage, 0},
		{503, `<html>`, ErrOutage, 0},
		{200, `{"hosts":`, errors.New("malformed"), 0},
		{429, ``, errors.New("status"), 0},
	} {
		client := New("x:1", 100, scriptedTransport(func(*http.Request) (int, string) { return test.status, test.body }))
		got, err := client.Rent(ctx, api.InstanceRequest{IdempotencyKey: "t1-1"})
		if len(got) != test.wantMachines || (err == nil) != (test.want == nil) || errors.Is(test.want, ErrNoCapacity) && !errors.Is(err, ErrNoCapacity) || errors.Is(test.want, ErrOutage) && !errors.Is(err, ErrOutage) {
			t.Errorf("%d %s: machines %v, error %v; want %d machines and error %v", test.status, test.body, got, err, test.wantMachines, test.want)
		}
	}
	empty := New("x:1", 100, scriptedTransport(func(*http.Request) (int, string) { return 200, `{}` }))
	if _, err := empty.Catalog(ctx); err == nil {
		t.Error("an empty catalog was accepted")
	}
}

func TestListReadsAllPages(t *testing.T) {
	client := New("x:1", 100, scriptedTransport(func(r *http.Request) (int, string) {
		if r.URL.Query().Get("after") == "" {
			return 200, `{"hosts":[{"name_id":"n-1"},{"name_id":"n-2"}],"more":true}`
		}
		return 200, `{"hosts":[{"name_id":"n-3"}],"more":false}`
	}))
	list, err := client.List(t.Context())
	if err != nil || len(list) != 3 || list[2].Name != "n-3" {
		t.Errorf("machines %+v, error %v; want n-1 to n-3", list, err)
	}
}
