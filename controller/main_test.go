package controller

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"testing"

	"switchferry/invariant"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	code := m.Run()
	if violations := invariant.Violations(); violations > 0 {
		fmt.Printf("FAIL: %d invariant violations that no test expected\n", violations)
		code = 1
	}
	os.Exit(code)
}
