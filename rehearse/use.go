package rehearse

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// measureUsage reads what the nodes have used, by the kernel's word. One that is gone is left out.
func measureUsage(nodes []*relayNode) []NodeUsage {
	var list []NodeUsage
	for _, n := range nodes {
		pid, running := n.PID()
		if !running {
			continue
		}
		list = append(list, NodeUsage{Name: n.name, PeakMB: peakMB(pid), ProcessorSeconds: processorSeconds(pid)})
	}
	return list
}

// peakMB is the most memory that a process has had; zero where the kernel does not tell.
func peakMB(pid int) float64 {
	const kbPerMB = 1024
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			if err == nil {
				return kb / kbPerMB
			}
		}
	}
	return 0
}

// Fields of /proc/PID/stat behind the program's name, and the kernel's clock ticks a second.
const (
	userTicks      = 11
	systemTicks    = 12
	ticksPerSecond = 100
)

// processorSeconds is for how long a process has had a processor; zero where the kernel does not
// tell.
func processorSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	words := strings.Fields(rest)
	if len(words) <= systemTicks {
		return 0
	}
	user, userErr := strconv.ParseFloat(words[userTicks], 64)
	system, systemErr := strconv.ParseFloat(words[systemTicks], 64)
	if userErr != nil || systemErr != nil {
		return 0
	}
	return (user + system) / ticksPerSecond
}
