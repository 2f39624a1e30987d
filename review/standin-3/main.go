// Command standin-3 plays the cases of the third review: it starts processes of the project beside
// stand-ins for the platform, minions and consumers, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	arguments = 4
)

// verdict is the result of a case: whether the rule was broken, and how.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name. Each gets the site and whether the disruption takes place.
var cases = map[string]func(s *site, trouble bool) (verdict, error){
	"clock":   clock,
	"late":    lateCopy,
	"advice":  advice,
	"crash":   crash,
	"waiting": waiting,
	"large":   large,
	"entry":   otherWriter,
	"pace":    pace,
	"same-id": sameID,
	"kind":    kind,
}

func main() {
	if len(os.Args) != arguments {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE PROGRAM FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, folder string) int {
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer log.file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	log.write("case %s, disruption: %v", name, trouble)
	s, err := newSite(log, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer s.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		s.close()
		os.Exit(couldNot)
	}()
	v, err := cases[name](s, trouble)
	if err != nil {
		log.write("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNot
	}
	log.write("broken: %v: %s", v.broken, v.text)
	fmt.Printf("broken: %v: %s\n", v.broken, v.text)
	if v.broken {
		return broken
	}
	return held
}
