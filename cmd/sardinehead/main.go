// Command sardinehead is the daemon of the entry VMs and the operators'
// command line in one binary.
package main

import "fmt"

func main() {
	fmt.Println("sardinehead")
}
