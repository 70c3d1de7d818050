package netconn

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
)

// lostConnectionErrors are the errors of accept that concern only the connection that it was about to return
// (accept(2)).
var lostConnectionErrors = []error{
	syscall.ECONNABORTED,
	syscall.EHOSTDOWN,
	syscall.EHOSTUNREACH,
	syscall.EINTR,
	syscall.ENETDOWN,
	syscall.ENETUNREACH,
	syscall.ENONET,
	syscall.ENOPROTOOPT,
	syscall.EPROTO,
	syscall.ETIMEDOUT,
}

// brokenListenerErrors are the errors of accept after which no further accept can work (accept(2)).
var brokenListenerErrors = []error{
	net.ErrClosed,
	os.ErrDeadlineExceeded,
	syscall.EBADF,
	syscall.EINVAL,
	syscall.ENOTSOCK,
	syscall.EOPNOTSUPP,
}

// noDescriptorErrors are the errors of accept when the process or the whole machine has no free descriptor.
var noDescriptorErrors = []error{syscall.EMFILE, syscall.ENFILE}

// IsOutOfDescriptors reports whether accept failed because no descriptor was free. It succeeds again once one has been
// closed.
func IsOutOfDescriptors(err error) bool { return isOneOf(err, noDescriptorErrors) }

// IsConnectionLost reports whether accept failed because of the connection that it was about to return. The next accept
// may succeed.
func IsConnectionLost(err error) bool { return isOneOf(err, lostConnectionErrors) }

// IsListenerBroken reports whether no further accept can succeed. All other errors are temporary: a connection was lost
// before it was accepted, or the machine is short of a resource for the moment.
func IsListenerBroken(err error) bool { return isOneOf(err, brokenListenerErrors) }

func isOneOf(err error, list []error) bool {
	return slices.ContainsFunc(list, func(target error) bool { return errors.Is(err, target) })
}
