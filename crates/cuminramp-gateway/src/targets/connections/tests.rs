use std::time::Duration;

use cuminramp_core::Name;
use rustix::net::sockopt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};

use super::{TargetConnections, break_if_unconfirmed};

/// The usual time to the first event that callers are promised.
const OBJECTIVE: Duration = Duration::from_millis(300);

/// A listener that takes no further connection, as a machine without power does.
async fn full_listener() -> (TcpListener, Vec<TcpStream>, Name) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut open = Vec::new();
    while let Ok(Ok(stream)) = timeout(Duration::from_millis(50), TcpStream::connect(address)).await
    {
        open.push(stream);
    }
    (listener, open, address.to_string().into())
}

/// Guards against callers who are late because a target's machine is gone.
#[tokio::test]
async fn a_connection_that_does_not_stand_leaves_time_for_another_target() {
    let (_listener, _open, address) = full_listener().await;

    let began = Instant::now();
    let lease = TargetConnections::default().lease(&address, true).await;

    assert!(lease.is_err());
    assert!(began.elapsed() < OBJECTIVE * 2 / 3, "{:?}", began.elapsed());
}

/// Guards against requests that wait for an answer on a connection whose other end is gone.
#[tokio::test]
async fn bytes_that_stay_unconfirmed_break_a_connection_within_the_objective() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();

    break_if_unconfirmed(&stream).unwrap();

    let limit = sockopt::tcp_user_timeout(&stream).unwrap();
    assert!((1..OBJECTIVE.as_millis() as u32).contains(&limit), "{limit} ms");
}
