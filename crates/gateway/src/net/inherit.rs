//! The clients' listening socket, inherited from the platform instead of bound here.
//!
//! During an upgrade under load the platform holds the socket and hands it to every process it starts as
//! the descriptor that `$EDGE_SOCKET_FD` names (3 on the platform's days). Old and new process accept from
//! the one queue, so a connection the old one no longer takes waits there for the new one: none ends at the
//! door. Binding the address again would fail, for the platform's socket holds it.
//!
//! Turning a number into a socket is the one step that Rust allows only in `unsafe` code, which the
//! project forbids; `listenfd`, the small and well-kept library of socket activation, does it for us and
//! checks that the descriptor is a TCP socket of IPv4 or IPv6 before it does.

use std::net::TcpListener;

/// The variable that names the inherited descriptor.
pub const SOCKET_FD: &str = "EDGE_SOCKET_FD";

/// The descriptor that `$EDGE_SOCKET_FD` names, as a listener; `Ok(None)` where the variable is not set.
///
/// Call it before any thread starts: it sets the variables of socket activation for `listenfd` to read,
/// and these are gone again when it returns.
///
/// # Errors
/// A line naming the variable and what is wanted: the value is no number of 3 or more, or that descriptor is
/// not an open TCP socket.
pub fn take() -> Result<Option<TcpListener>, String> {
    let Some(text) = std::env::var_os(SOCKET_FD) else { return Ok(None) };
    let text = text.to_string_lossy();
    let wanted = "the number of an inherited TCP listening socket, 3 or more";
    let fd = match text.trim().parse::<u32>() {
        Ok(fd) if fd >= 3 => fd,
        _ => return Err(format!("{SOCKET_FD}: '{text}' is not {wanted}")),
    };
    // listenfd reads the systemd protocol: so many descriptors from the first one on, for this process.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
    std::env::remove_var("LISTEN_PID");
    let taken = listenfd::ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    match taken {
        Ok(Some(listener)) => Ok(Some(listener)),
        Ok(None) => Err(format!("{SOCKET_FD}: descriptor {fd} is not open; {wanted} is wanted")),
        Err(why) => Err(format!("{SOCKET_FD}: descriptor {fd}: {why}; {wanted} is wanted")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::os::fd::IntoRawFd;

    // One test, for the cases share the process's variables.
    #[test]
    fn a_listener_is_taken_by_its_number_and_anything_else_is_named() {
        std::env::remove_var(SOCKET_FD);
        assert!(take().expect("nothing to take").is_none());

        let bound = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = bound.local_addr().expect("its address");
        std::env::set_var(SOCKET_FD, bound.into_raw_fd().to_string());
        let taken = take().expect("a listener").expect("taken");
        assert_eq!(taken.local_addr().expect("its address"), address);
        let mut client = std::net::TcpStream::connect(address).expect("it listens");
        let (mut served, _) = taken.accept().expect("accepted");
        client.write_all(b"x").expect("written");
        let mut byte = [0; 1];
        served.read_exact(&mut byte).expect("read");
        assert_eq!(&byte, b"x");

        let file = std::fs::File::open("/proc/self/status").expect("a file");
        let cases = [
            ("seven".to_string(), "'seven' is not"),
            ("2".to_string(), "'2' is not"),
            (file.into_raw_fd().to_string(), "is not a socket"),
            ("999".to_string(), "is not a socket"),
        ];
        for (value, said) in cases {
            std::env::set_var(SOCKET_FD, &value);
            let why = take().expect_err(&value);
            assert!(why.starts_with("EDGE_SOCKET_FD: ") && why.contains(said), "{value}: {why}");
        }
        std::env::remove_var(SOCKET_FD);
    }
}
