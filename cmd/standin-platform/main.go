// Command standin-platform is a stand-in for the platform's table service, object store
// and list of VMs, for tests and demonstrations. It keeps all data in memory.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/standin"
)

type arguments struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"IP address and port; port 0 lets the kernel choose a port"`
	VMs    string `arg:"--vms" help:"JSON file with the list of VMs"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := serve(args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(1)
	}
}

func serve(args arguments) error {
	platform := standin.NewPlatform()
	if args.VMs != "" {
		text, err := os.ReadFile(args.VMs)
		if err != nil {
			return err
		}
		var vms []pool.Listing
		if err := json.Unmarshal(text, &vms); err != nil {
			return err
		}
		platform.SetVMs(vms)
	}
	return standin.Serve(args.Listen, platform.Handler(), os.Stdout)
}
