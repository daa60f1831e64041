// Command trial-platform is a stand-in of the platform for trials and tests.
package main

import (
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/trial/platform"
)

type arguments struct {
	Listen string `arg:"--listen" default:"127.0.0.1:8000" help:"address to listen on"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	listener, err := net.Listen("tcp", args.Listen)
	if err != nil {
		log.WithError(err).Fatal("listen")
	}
	server := platform.New()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		if err := server.Close(); err != nil {
			log.WithError(err).Error("close")
		}
	}()
	if err := server.Serve(listener); err != nil {
		log.WithError(err).Fatal("serve")
	}
}
