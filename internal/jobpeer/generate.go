package jobpeer

//go:generate protoc --proto_path=. --go_out=jobpeerpb --go_opt=paths=source_relative --twirp_out=jobpeerpb --twirp_opt=paths=source_relative jobs.proto
