// Command standin plays one case of the review: it runs stand-ins of the platform, of minions and
// of consumers, starts the project's own program as separate processes, and judges what the
// stand-ins have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes: the rule held, it was broken, the case couldn't run.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// play plays a case and returns the breaches of its rule.
type play func(s *site, trouble bool) ([]string, error)

var cases = map[string]play{
	"forgotten": playForgotten,
	"lease":     playLease,
	"attempts":  playAttempts,
	"overlap":   playOverlap,
}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", "", "folder of the case, for record.txt")
	flag.Parse()
	os.Exit(run(*name, *folder))
}

func run(name, folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer rec.file.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.note("%v", err)
		return exitNoRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", name, trouble)
	s := newSite(rec, dir, 6*time.Second)
	code := exitNoRun
	if playCase := cases[name]; playCase != nil {
		code = judge(s, playCase, trouble)
	}
	s.end()
	return code
}

func judge(s *site, playCase play, trouble bool) int {
	breaches, err := playCase(s, trouble)
	if err != nil {
		s.rec.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNoRun
	}
	if len(breaches) == 0 {
		s.rec.note("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	for _, b := range breaches {
		s.rec.note("BROKEN %s", b)
	}
	fmt.Println(len(breaches), "breaches, the first:", breaches[0])
	return exitBroken
}
