// Command bilberryvane is the operator's tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/bilberryvane/bilberryvane/internal/process/console"
	"github.com/bilberryvane/bilberryvane/internal/version/document"
)

func main() {
	var arguments console.Arguments
	parser, err := arg.NewParser(arg.Config{Program: "bilberryvane", Exit: exitUsage}, &arguments)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(console.ExitFailed)
	}
	parser.MustParse(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = console.Run(ctx, arguments, os.Stdout)
	report(err)
	os.Exit(console.ExitCode(err))
}

// exitUsage exits after the help was printed or the arguments were invalid.
func exitUsage(code int) {
	if code != 0 {
		code = console.ExitBadInput
	}
	os.Exit(code)
}

// report prints an error to standard error, the faults of a document one per line.
func report(err error) {
	var faults document.Faults
	switch {
	case err == nil:
	case errors.As(err, &faults):
		fmt.Fprintln(os.Stderr, faults.Error())
	default:
		fmt.Fprintln(os.Stderr, "bilberryvane:", err)
	}
}
