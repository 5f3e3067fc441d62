package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(*stage) (held bool, err error){}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		return exitNotRun
	}
	record, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	s, err := newStage(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	s.logf("case %s, disruption %t", args[0], s.trouble)
	type outcome struct {
		held bool
		err  error
	}
	ended := make(chan outcome, 1)
	s.group.Go(func() {
		held, err := cases[args[0]](s)
		ended <- outcome{held, err}
	})
	var held bool
	select {
	case <-stop:
		s.logf("NOT RUN: stopped")
		s.abandon()
		return exitNotRun
	case o := <-ended:
		held, err = o.held, o.err
	}
	switch {
	case errors.Is(err, errNotRun):
		s.logf("NOT RUN: %v", err)
		return exitNotRun
	case held:
		s.logf("HELD")
		return exitHeld
	default:
		s.logf("BROKEN")
		return exitBroken
	}
}
