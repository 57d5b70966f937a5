// Package socket sets socket options for which the standard library has no function.
package socket

import (
	"fmt"
	"syscall"
	"time"
)

// UserTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT). The
// kernel then closes the connection, which detects a peer that vanished without
// closing it.
type UserTimeout time.Duration

// Control sets the option on a socket before it connects. It has the signature of
// net.Dialer.Control.
func (u UserTimeout) Control(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 18
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(time.Duration(u).Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("accessing the socket: %w", err)
	}
	return optionErr
}
