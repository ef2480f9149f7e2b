//! Waiting for a socket or for the end of the server, whichever comes first.

use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// What came first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ready {
    /// The socket has something.
    Socket,
    /// The server closes, and the socket has nothing.
    Woken,
}

/// Waits for a socket or the waker.
pub(crate) fn wait(socket: &impl AsFd, woken: &UnixStream) -> Ready {
    let mut fds = [
        PollFd::new(socket.as_fd(), PollFlags::POLLIN),
        PollFd::new(woken.as_fd(), PollFlags::POLLIN),
    ];
    loop {
        match poll(&mut fds, PollTimeout::NONE) {
            // What came to the socket before the close counts first.
            Ok(_) if fds[0].any().unwrap_or(true) => return Ready::Socket,
            Ok(_) if fds[1].any().unwrap_or(true) => return Ready::Woken,
            Ok(_) | Err(Errno::EINTR) => {}
            Err(_) => return Ready::Socket,
        }
    }
}

/// Whether a socket has something within a time.
pub(crate) fn has_something(socket: &impl AsFd, longest: Duration) -> bool {
    let mut fds = [PollFd::new(socket.as_fd(), PollFlags::POLLIN)];
    let longest = PollTimeout::try_from(longest).unwrap_or(PollTimeout::ZERO);
    matches!(poll(&mut fds, longest), Ok(ready) if ready > 0)
}
