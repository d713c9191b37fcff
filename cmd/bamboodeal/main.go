// Command bamboodeal checks declarations, builds bundles and reads the state of a mesh.
package main

import (
	"os"

	"github.com/bamboodeal/bamboodeal/pkg/operatorcli"
)

func main() {
	os.Exit(operatorcli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
