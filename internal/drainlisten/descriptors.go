package drainlisten

import "syscall"

const (
	// fileDescriptors is the number of descriptors reserved for files.
	fileDescriptors = 200
	// unknownDescriptors is the descriptor limit that is assumed if the process cannot read its own.
	unknownDescriptors = 1024
	// callersShare, peersShare and otherShare are the parts of the sockets that the connections of a port
	// for callers, for other nodes and for operators or readiness checks may take. The rest is for
	// connections that the process opens.
	callersShare = 1.0 / 2
	peersShare   = 1.0 / 4
	otherShare   = 1.0 / 32
	// connMemoryShare is the part of the process's memory for the connections of callers, connBytes the
	// memory that a connection takes, in bytes.
	connMemoryShare = 1.0 / 4
	connBytes       = 32 << 10
	// minConns is the least limit of a port.
	minConns = 16
)

// ConnLimits are the maximum numbers of connections to the ports of a process.
type ConnLimits struct {
	Callers, Peers int
	// Other applies to the operators' port and to that for readiness checks.
	Other int
}

// NewConnLimits returns the limits of a process with a memory limit in bytes, or 0, and a descriptor limit. The
// system's limit of descriptors applies if it is lower or if descriptors is 0.
func NewConnLimits(memoryBytes int64, descriptors int) ConnLimits {
	own := systemDescriptors()
	if descriptors == 0 || own < descriptors {
		descriptors = own
	}
	sockets := float64(descriptors - fileDescriptors)
	limits := ConnLimits{
		Callers: max(int(sockets*callersShare), minConns),
		Peers:   max(int(sockets*peersShare), minConns),
		Other:   max(int(sockets*otherShare), minConns),
	}
	if memoryBytes > 0 {
		limits.Callers = min(limits.Callers, max(int(float64(memoryBytes)*connMemoryShare/connBytes), minConns))
	}
	return limits
}

// systemDescriptors returns the system's limit of the descriptors of this process.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknownDescriptors
	}
	return int(min(limit.Cur, 1<<30))
}
