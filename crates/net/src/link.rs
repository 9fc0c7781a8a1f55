//! What kept connections need, whichever side keeps them: are they still good, and what do they hold while idle.

use bytes::BytesMut;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// How long bytes sent may stay without an acknowledgement before the kernel gives the connection up.
const UNHEARD: Duration = Duration::from_secs(3);

/// Nothing has come on it that was not read yet, not even its end. Asks the kernel itself: the runtime may not know
/// yet. Bytes already in a read buffer of this process are the owner's to check.
pub fn quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    let seen = SockRef::from(stream).peek(&mut byte);
    seen.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Lets go of what a large message made an empty read buffer grow to; `bytes` is what it keeps. What is still unread
/// in it stays.
pub fn shrink(buffer: &mut BytesMut, bytes: usize) {
    if buffer.is_empty() && buffer.capacity() > bytes {
        *buffer = BytesMut::with_capacity(bytes);
    }
}

/// What both ends of the system's own calls ask of the kernel: no waiting for fuller packets, and an end to a
/// connection whose other end has not acknowledged anything for 3 s.
///
/// # Errors
///
/// The kernel's.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNHEARD))
}

/// A connection tuned as by [`tune`], so from its first packet on. The caller bounds the time.
///
/// # Errors
///
/// The kernel's.
pub async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    SockRef::from(&socket).set_tcp_user_timeout(Some(UNHEARD))?;
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
