package spec

import (
	"path"

	"github.com/sardinehead/sardinehead/internal/strictjson"
)

// tree is the set of decoded files while it is being checked.
type tree struct {
	fleet Fleet
	// fleetDoc is nil if there is no fleet file.
	fleetDoc *strictjson.Document
	services []serviceFile
	// teams and pools are what service files may refer to.
	teams, pools *declared
	// problems holds the problems that belong to no document.
	problems strictjson.Problems
	// docs holds all documents, also those that are not used.
	docs []*strictjson.Document
}

// serviceFile is one service with the document it came from.
type serviceFile struct {
	service *Service
	doc     *strictjson.Document
}

func decodeTree(files []file) *tree {
	t := &tree{}
	for _, f := range files {
		doc := strictjson.Parse(f.name, f.data)
		t.docs = append(t.docs, doc)
		if path.Base(f.name) == FleetFileName {
			t.addFleet(doc)
			continue
		}
		service := &Service{}
		doc.Decode(service, "file")
		service.File = f.name
		t.services = append(t.services, serviceFile{service: service, doc: doc})
	}
	if t.fleetDoc == nil {
		t.addProblem(FleetFileName, "the tree has no "+FleetFileName,
			"one with the regions, teams and pools")
	}
	return t
}

func (t *tree) addFleet(doc *strictjson.Document) {
	if t.fleetDoc != nil {
		t.addProblem(doc.File(), "the tree has another "+FleetFileName+": "+t.fleetDoc.File(),
			"all of it in one of them")
		return
	}
	t.fleetDoc = doc
	doc.Decode(&t.fleet, "services")
}

func (t *tree) addProblem(file, what, write string) {
	t.problems = append(t.problems, strictjson.Problem{File: file, Line: 1, Column: 1, What: what, Write: write})
}

// allProblems returns the problems of all documents, sorted.
func (t *tree) allProblems() strictjson.Problems {
	all := append(strictjson.Problems{}, t.problems...)
	for _, doc := range t.docs {
		all = append(all, doc.Problems()...)
	}
	all.Sort()
	return all
}

// fleetUsable reports whether names of service files can be looked up in the
// fleet file.
func (t *tree) fleetUsable() bool {
	return t.fleetDoc != nil && t.fleetDoc.OK()
}

func (t *tree) check() {
	t.teams = declareBy("team", t.fleet.Teams, func(team Team) string { return string(team.Name) })
	t.pools = declareBy("pool", t.fleet.Pools, func(pool Pool) string { return string(pool.Name) })
	if t.fleetUsable() {
		t.checkFleet()
	}
	for i := range t.services {
		if t.services[i].doc.OK() {
			t.checkService(&t.services[i])
		}
	}
	if t.fleetUsable() {
		t.checkPoolsServed()
	}
}
