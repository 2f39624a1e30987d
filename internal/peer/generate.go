package peer

//go:generate protoc --proto_path=. --go_out=peerpb --go_opt=paths=source_relative --twirp_out=peerpb --twirp_opt=paths=source_relative peer.proto
