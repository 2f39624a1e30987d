package spec

import (
	"path"

	"github.com/sardinehead/sardinehead/internal/strictjson"
)

// configTree holds the decoded operators' files of a directory tree while they
// are checked.
type configTree struct {
	// fleet is the content of the fleet file. Check adds the services.
	fleet Fleet
	// fleetDoc is nil if there is no fleet file.
	fleetDoc *strictjson.Document
	services []serviceFile
	// declaredTeams and declaredPools are the names of the fleet file that
	// service files may refer to.
	declaredTeams, declaredPools *declaredNames
	// treeProblems holds missing and duplicate fleet files. All other problems
	// are kept in the documents.
	treeProblems strictjson.Problems
	// docs holds the documents of all files, duplicate fleet files included.
	docs []*strictjson.Document
}

// serviceFile is a service and the document it was decoded from.
type serviceFile struct {
	service *Service
	doc     *strictjson.Document
}

// decodeFiles parses and decodes the files. Problems are kept in the tree.
func decodeFiles(files []operatorFile) *configTree {
	t := &configTree{}
	for _, f := range files {
		doc := strictjson.Parse(f.path, f.data)
		t.docs = append(t.docs, doc)
		if path.Base(f.path) == FleetFileName {
			t.addFleet(doc)
			continue
		}
		service := &Service{}
		doc.Decode(service, "file")
		service.File = f.path
		t.services = append(t.services, serviceFile{service: service, doc: doc})
	}
	if t.fleetDoc == nil {
		t.addProblem(FleetFileName, "there is no "+FleetFileName,
			"one with the regions, teams and pools")
	}
	return t
}

func (t *configTree) addFleet(doc *strictjson.Document) {
	if t.fleetDoc != nil {
		t.addProblem(doc.File(), "duplicate "+FleetFileName+", first given at "+t.fleetDoc.File(),
			"all of it in one of them")
		return
	}
	t.fleetDoc = doc
	doc.Decode(&t.fleet, "services")
}

func (t *configTree) addProblem(file, message, suggestion string) {
	t.treeProblems = append(t.treeProblems, strictjson.Problem{File: file, Line: 1, Column: 1, Message: message, Suggestion: suggestion})
}

// allProblems returns the problems of the tree and of all documents, sorted.
func (t *configTree) allProblems() strictjson.Problems {
	all := append(strictjson.Problems{}, t.treeProblems...)
	for _, doc := range t.docs {
		all = append(all, doc.Problems()...)
	}
	all.Sort()
	return all
}

// fleetParsed reports whether there is a fleet file that could be parsed. If
// not, references to its teams and pools are not checked.
func (t *configTree) fleetParsed() bool {
	return t.fleetDoc != nil && t.fleetDoc.Parsed()
}

// check checks the decoded files and reports problems in their documents.
func (t *configTree) check() {
	t.declaredTeams = declaredNamesOf("team", t.fleet.Teams, func(team Team) string { return string(team.Name) })
	t.declaredPools = declaredNamesOf("pool", t.fleet.Pools, func(pool Pool) string { return string(pool.Name) })
	if t.fleetParsed() {
		t.checkFleet()
	}
	for i := range t.services {
		if t.services[i].doc.Parsed() {
			t.checkService(&t.services[i])
		}
	}
	if t.fleetParsed() {
		t.checkPoolsUsed()
	}
}
