// Command switchferry runs a controller or queries one.
package main

import (
	"fmt"
	"os"

	"switchferry/cli"
)

func main() {
	if err := cli.Root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "switchferry:", err)
		os.Exit(cli.ExitCode(err))
	}
}
