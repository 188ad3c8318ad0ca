package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"
)

// Modes of files that commands write.
const outputFileMode = 0o644

// linePrinter prints lines. After an error it prints nothing more, so that a command need not check each line.
type linePrinter struct {
	out io.Writer
	// err is the first error.
	err error
}

// printf prints formatted text.
func (printer *linePrinter) printf(format string, args ...any) {
	if printer.err == nil {
		_, printer.err = fmt.Fprintf(printer.out, format, args...)
	}
}

// newTable returns a table in the style of all commands, which is printed by its Render.
func newTable(out io.Writer) table.Writer {
	writer := table.NewWriter()
	writer.SetOutputMirror(out)
	writer.SetStyle(table.StyleLight)
	return writer
}

// printTable prints a table, or nothing if it has no rows.
func printTable(out io.Writer, header table.Row, rows []table.Row) {
	if len(rows) == 0 {
		return
	}
	writer := newTable(out)
	writer.AppendHeader(header)
	writer.AppendRows(rows)
	writer.Render()
}

// printLine prints a line to the standard output of a command.
func printLine(cmd *cobra.Command, line string) error {
	_, err := fmt.Fprintln(cmd.OutOrStdout(), line)
	return err
}

// printRaw prints the JSON of an answer as it came.
func printRaw(cmd *cobra.Command, raw []byte) error {
	return printLine(cmd, string(bytes.TrimSpace(raw)))
}

// printJSON prints a value as one line of JSON.
func printJSON(cmd *cobra.Command, value any) error {
	return json.NewEncoder(cmd.OutOrStdout()).Encode(value)
}

// note prints a line beside the result of a command, to its standard error. Whether that succeeds does not
// matter to the result.
func note(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...)
}
