// Package crowd sends crowds of clients that do not behave to processes of the program, and checks
// that each process lives, stays within its memory and descriptors, and still answers ordinary callers.
package crowd
