package netconn

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
)

// lostConnectionErrors are the errors of accept that belong to the connection it was about to return (accept(2)).
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

// noDescriptorErrors are the errors of accept where the process, or the whole machine, has no descriptor left.
var noDescriptorErrors = []error{syscall.EMFILE, syscall.ENFILE}

// IsOutOfDescriptors reports whether accept failed for want of a descriptor: it works again once one has been closed.
func IsOutOfDescriptors(err error) bool { return isOneOf(err, noDescriptorErrors) }

// IsConnectionLost reports whether accept failed for the connection that it was about to return, which says nothing of
// the next one.
func IsConnectionLost(err error) bool { return isOneOf(err, lostConnectionErrors) }

// IsListenerBroken reports whether no further accept can work. All other errors pass: those of connections that were
// lost before they were accepted, and those of a machine that is short of something for a moment.
func IsListenerBroken(err error) bool { return isOneOf(err, brokenListenerErrors) }

func isOneOf(err error, list []error) bool {
	return slices.ContainsFunc(list, func(target error) bool { return errors.Is(err, target) })
}
