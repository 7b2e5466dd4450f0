package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is the most that a process held at one instant.
type usage struct {
	// memory is the resident memory of the process together with unread, in bytes. The
	// platform kills a process by this sum.
	memory int64
	// unread is what the sockets of the process had received and it had not read, in bytes.
	unread      int64
	descriptors int
}

// usageInterval is the time between two looks at a process.
const usageInterval = 10 * time.Millisecond

// watchUsage returns the peaks of what the process holds until stop is closed. addresses
// are those on which it listens: their connections count before they are accepted too.
func (p *process) watchUsage(addresses []string, stop <-chan struct{}) (most usage) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	listening := map[string]bool{}
	for _, a := range addresses {
		listening[portOf(a)] = true
	}
	t := time.NewTicker(usageInterval)
	defer t.Stop()
	for {
		now := readUsage(pid, listening)
		most.memory = max(most.memory, now.memory)
		most.unread = max(most.unread, now.unread)
		most.descriptors = max(most.descriptors, now.descriptors)
		select {
		case <-stop:
			most.memory = max(most.memory, p.peakMemory())
			return most
		case <-t.C:
		}
	}
}

// portOf returns the port of an address in the form of /proc/net/tcp.
func portOf(address string) string {
	port, _ := strconv.Atoi(address[strings.LastIndexByte(address, ':')+1:])
	return fmt.Sprintf("%04X", port)
}

// readUsage returns what a process holds now.
func readUsage(pid int, listening map[string]bool) usage {
	own := fmt.Sprintf("/proc/%d", pid)
	statm, _ := os.ReadFile(own + "/statm")
	var u usage
	if fields := strings.Fields(string(statm)); len(fields) > 1 {
		pages, _ := strconv.ParseInt(fields[1], 10, 64)
		u.memory = pages * int64(os.Getpagesize())
	}
	descriptors, _ := os.ReadDir(own + "/fd")
	u.descriptors = len(descriptors)
	sockets := map[string]bool{}
	for _, d := range descriptors {
		link, _ := os.Readlink(own + "/fd/" + d.Name())
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	for _, table := range []string{"tcp", "tcp6"} {
		u.unread += unreadBytes(own+"/net/"+table, listening, sockets)
	}
	u.memory += u.unread
	return u
}

// unreadBytes sums the receive queues of the connections in a table of the kernel that
// belong to one of the ports or to one of the sockets, which are inode numbers.
func unreadBytes(table string, ports, sockets map[string]bool) (sum int64) {
	// The columns are the number, the local and the remote address, the state, the queues
	// as SENT:RECEIVED, timers, retransmissions, the user, a timeout and the inode.
	const columnLocal, columnState, columnQueues, columnInode = 1, 3, 4, 9
	const stateListening = "0A" // whose queue counts connections
	content, _ := os.ReadFile(table)
	for lines := bufio.NewScanner(bytes.NewReader(content)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= columnInode || fields[columnState] == stateListening {
			continue
		}
		_, port, _ := strings.Cut(fields[columnLocal], ":")
		if !ports[port] && !sockets[fields[columnInode]] {
			continue
		}
		_, received, _ := strings.Cut(fields[columnQueues], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum
}
