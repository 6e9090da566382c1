//! A TCP relay that can delay, freeze or cut what passes through it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const BUFFER_BYTES: usize = 16 * 1024;

/// What the link does with bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkMode {
    /// Passes them on.
    Open,
    /// Passes them on after a while.
    Delayed(Duration),
    /// Holds the bytes towards the server; connections stay open and silent.
    SilentForward,
    /// Holds the bytes in both directions.
    Silent,
}

/// A relay before one address.
///
/// Each connection follows the mode in force. With [`FaultyLink::freeze_open_connections`] the connections that
/// are open go silent for good while new ones work, as when a middlebox forgets them.
#[derive(Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    server: watch::Sender<Option<SocketAddr>>,
    mode: watch::Sender<LinkMode>,
    frozen: watch::Sender<u64>,
    stop: CancellationToken,
}

impl FaultyLink {
    /// Opens a relay on a free loopback port; until it has a server it closes what connects.
    pub async fn open() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(LinkMode::Open);
        let (frozen, freezes) = watch::channel(0);
        let (server, servers) = watch::channel(None);
        let stop = CancellationToken::new();
        let ended = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = relay_all(listener, servers, modes, freezes, ended.clone()) => {}
                () = ended.cancelled() => {}
            }
        });
        Ok(FaultyLink { address, server, mode, frozen, stop })
    }

    /// Where to connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Says where connections lead from now on.
    pub fn set_server(&self, server: SocketAddr) {
        self.server.send_replace(Some(server));
    }

    /// Changes what happens to bytes from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Makes every connection that is open now silent for good.
    pub fn freeze_open_connections(&self) {
        self.frozen.send_modify(|count| *count += 1);
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
            let Ok(target) = TcpStream::connect(server).await else {
                return;
            };
            let born = *freezes.borrow();
            let (caller_read, caller_write) = caller.into_split();
            let (target_read, target_write) = target.into_split();
            let forward =
                Pump { modes: modes.clone(), freezes: freezes.clone(), born, forward: true };
            let backward = Pump { modes, freezes, born, forward: false };
            tokio::select! {
                () = forward.run(caller_read, target_write) => {}
                () = backward.run(target_read, caller_write) => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

/// One direction of one connection.
struct Pump {
    modes: watch::Receiver<LinkMode>,
    freezes: watch::Receiver<u64>,
    born: u64,
    forward: bool,
}

impl Pump {
    async fn run(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok(count) = from.read(&mut buffer).await else {
                return;
            };
            self.pass().await;
            if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    /// Returns when a chunk may go on.
    async fn pass(&mut self) {
        loop {
            if *self.freezes.borrow() != self.born {
                return std::future::pending().await;
            }
            let mode = *self.modes.borrow_and_update();
            match mode {
                LinkMode::Open => return,
                LinkMode::Delayed(wait) => return tokio::time::sleep(wait).await,
                LinkMode::SilentForward if !self.forward => return,
                LinkMode::SilentForward | LinkMode::Silent => {
                    if self.modes.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}
