// Command bilberryvaned runs the node, with one process on each host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/bilberryvane/bilberryvane/internal/process/daemon"
)

func main() {
	var arguments daemon.Arguments
	arg.MustParse(&arguments)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := daemon.Run(ctx, arguments, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(daemon.ExitCode(err))
	}
}
