package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"
)

// outputFileMode is the permission mode of files that commands write.
const outputFileMode = 0o644

// linePrinter prints formatted text. After a write error it prints nothing more, so that a command checks err only
// once, at the end.
type linePrinter struct {
	out io.Writer
	// err is the first write error.
	err error
}

// printf prints formatted text unless an earlier call failed.
func (printer *linePrinter) printf(format string, args ...any) {
	if printer.err == nil {
		_, printer.err = fmt.Fprintf(printer.out, format, args...)
	}
}

// newTable returns an empty table in the style of all commands. Its Render prints it to out.
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

// printLine prints a line to the output of a command.
func printLine(cmd *cobra.Command, line string) error {
	_, err := fmt.Fprintln(cmd.OutOrStdout(), line)
	return err
}

// printRaw prints the JSON body of a response without reformatting it.
func printRaw(cmd *cobra.Command, raw []byte) error {
	return printLine(cmd, string(bytes.TrimSpace(raw)))
}

// printJSON prints a value as one line of JSON.
func printJSON(cmd *cobra.Command, value any) error {
	return json.NewEncoder(cmd.OutOrStdout()).Encode(value)
}

// printNote prints a line to the error output of a command. Write errors are ignored, as they do not affect the result.
func printNote(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...)
}
