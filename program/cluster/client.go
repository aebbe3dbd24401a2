package cluster

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// Owns returns a function that reports whether a connection on this VM comes from the process that runs now.
func (p *Program) Owns() func(client net.Addr) bool {
	pid := p.command.Process.Pid
	return func(client net.Addr) bool {
		address, ok := client.(*net.TCPAddr)
		return ok && ownsSocket(pid, socketInode(address.Port))
	}
}

// socketInode returns the inode of the connected socket with a local port; empty if there is none.
func socketInode(port int) string {
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	const localAddress, inode = 1, 9
	suffix := fmt.Sprintf(":%04X", port)
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) > inode && strings.HasSuffix(fields[localAddress], suffix) && fields[inode] != "0" {
			return fields[inode]
		}
	}
	return ""
}

// ownsSocket reports whether a process has a socket open.
func ownsSocket(pid int, inode string) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if inode == "" || err != nil {
		return false
	}
	for _, file := range files {
		if target, err := os.Readlink(file); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
