package nodes

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the processor time, memory and descriptors that a process uses.
type Usage struct {
	CPU         time.Duration // processor time since the start of the process
	Memory      int64         // resident memory in bytes now
	PeakMemory  int64         // largest resident memory in bytes, without the pages of mapped files
	Descriptors int           // number of file descriptors that are open now
}

// Indexes of the fields of /proc/PID/stat that follow the command name, and the unit of the times (proc_pid_stat(5)).
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21                    // resident memory in pages
	clockTick      = 10 * time.Millisecond // unit of the two times
)

// Usage reads the usage of the process from /proc. A value that cannot be read is zero.
func (p *Process) Usage() Usage {
	var usage Usage
	dir := fmt.Sprintf("/proc/%d/", p.PID())
	if stat, err := os.ReadFile(dir + "stat"); err == nil {
		usage.parseStat(string(stat))
	}
	if status, err := os.ReadFile(dir + "status"); err == nil {
		usage.PeakMemory = statusBytes(string(status), "VmHWM:") - statusBytes(string(status), "RssFile:")
	}
	if descriptors, err := os.ReadDir(dir + "fd"); err == nil {
		usage.Descriptors = len(descriptors)
	}
	return usage
}

// statusBytes reads a field in kB from the content of /proc/PID/status and returns it in bytes, or 0 if it is missing.
func statusBytes(status, field string) int64 {
	_, rest, _ := strings.Cut(status, field)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return 0
	}
	return kilobytes << 10
}

// parseStat reads the processor time and the resident memory from the content of /proc/PID/stat. The command name in it is
// in parentheses and may contain spaces.
func (u *Usage) parseStat(stat string) {
	_, rest, ok := strings.Cut(stat, ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= statResident {
		return
	}
	number := func(field int) int64 {
		value, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0
		}
		return value
	}
	u.CPU = time.Duration(number(statUserTime)+number(statSystemTime)) * clockTick
	u.Memory = number(statResident) * int64(os.Getpagesize())
}
