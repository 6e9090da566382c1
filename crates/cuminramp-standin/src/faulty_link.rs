//! TCP relay that can delay or withhold the bytes of its connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Size of the read buffer for each direction of a connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// How the relay handles the bytes of its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkMode {
    /// Forwards bytes at once.
    Open,
    /// Forwards each chunk after a delay.
    Delayed(Duration),
    /// Withholds bytes towards the server and forwards the other direction; connections stay open.
    BlockToServer,
    /// Withholds bytes in both directions; connections stay open.
    BlockBoth,
}

/// TCP relay in front of one server.
///
/// The current mode applies to all connections. [`FaultyLink::freeze_open_connections`] simulates a
/// middlebox that loses the state of its connections: open connections stay open but transfer nothing
/// more, while new ones work.
#[derive(Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    server: watch::Sender<Option<SocketAddr>>,
    mode: watch::Sender<LinkMode>,
    freeze_count: watch::Sender<u64>,
    stop: CancellationToken,
}

impl FaultyLink {
    /// Starts a relay on a free loopback port. Until a server is set, it closes each connection.
    pub async fn open() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(LinkMode::Open);
        let (freeze_count, freezes) = watch::channel(0);
        let (server, servers) = watch::channel(None);
        let stop = CancellationToken::new();
        let stop_requested = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = relay_all(listener, servers, modes, freezes, stop_requested.clone()) => {}
                () = stop_requested.cancelled() => {}
            }
        });
        Ok(FaultyLink { address, server, mode, freeze_count, stop })
    }

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the server for connections that are opened from now on.
    pub fn set_server(&self, server: SocketAddr) {
        self.server.send_replace(Some(server));
    }

    /// Sets the mode of all connections, open ones included.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Freezes all connections that are currently open: they stay open but transfer nothing more.
    pub fn freeze_open_connections(&self) {
        self.freeze_count.send_modify(|count| *count += 1);
    }
}

impl Drop for FaultyLink {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn relay_all(
    listener: TcpListener,
    servers: watch::Receiver<Option<SocketAddr>>,
    modes: watch::Receiver<LinkMode>,
    freezes: watch::Receiver<u64>,
    stop: CancellationToken,
) {
    while let Ok((caller, _)) = listener.accept().await {
        let Some(server) = *servers.borrow() else { continue };
        let (modes, freezes, stop) = (modes.clone(), freezes.clone(), stop.clone());
        tokio::spawn(async move {
            let Ok(server_stream) = TcpStream::connect(server).await else {
                return;
            };
            let freezes_at_open = *freezes.borrow();
            let (caller_read, caller_write) = caller.into_split();
            let (server_read, server_write) = server_stream.into_split();
            let forward = RelayDirection {
                modes: modes.clone(),
                freezes: freezes.clone(),
                freezes_at_open,
                to_server: true,
            };
            let backward = RelayDirection { modes, freezes, freezes_at_open, to_server: false };
            tokio::select! {
                () = forward.run(caller_read, server_write) => {}
                () = backward.run(server_read, caller_write) => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

/// One direction of a relayed connection.
struct RelayDirection {
    modes: watch::Receiver<LinkMode>,
    freezes: watch::Receiver<u64>,
    /// Number of freezes when the connection was opened; it is frozen once the current number differs.
    freezes_at_open: u64,
    to_server: bool,
}

impl RelayDirection {
    async fn run(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok(count) = from.read(&mut buffer).await else {
                return;
            };
            self.wait_until_allowed().await;
            if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    /// Waits until the current mode allows a chunk to be forwarded; never returns if the connection is
    /// frozen.
    async fn wait_until_allowed(&mut self) {
        loop {
            if *self.freezes.borrow() != self.freezes_at_open {
                return std::future::pending().await;
            }
            let mode = *self.modes.borrow_and_update();
            match mode {
                LinkMode::Open => return,
                LinkMode::Delayed(wait) => return tokio::time::sleep(wait).await,
                LinkMode::BlockToServer if !self.to_server => return,
                LinkMode::BlockToServer | LinkMode::BlockBoth => {
                    if self.modes.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}
