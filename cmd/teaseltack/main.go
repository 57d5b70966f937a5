// Command teaseltack runs an overload control layer for service call graphs.
package main

import (
	"os"

	"teaseltack/io/cmds"
)

func main() {
	os.Exit(cmds.Table{}.Run(os.Args[1:], os.Stdout, os.Stderr))
}
