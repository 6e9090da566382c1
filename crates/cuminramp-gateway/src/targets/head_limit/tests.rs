use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{HeadLimit, MAX_BYTES_BEFORE_BODY, TargetStream};

/// Reads from a target that sends `sent` bytes, and returns how many arrived.
async fn read(limit: &Arc<HeadLimit>, sent: usize) -> std::io::Result<usize> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let (mut target, _) = listener.accept().await?;
        target.write_all(&vec![b'x'; sent]).await
    });
    let mut stream = TargetStream::new(TcpStream::connect(address).await?, limit.clone());
    stream.read_to_end(&mut Vec::new()).await
}

/// Guards against a target that sends interim responses without end, and against a body that is cut at the limit of heads.
#[tokio::test]
async fn bytes_are_bounded_until_the_head_is_complete() {
    let limit = Arc::new(HeadLimit::default());
    let sent = MAX_BYTES_BEFORE_BODY * 2;

    let before = read(&limit, sent).await;
    limit.begin();
    let awaited = read(&limit, sent).await;
    let is_exceeded = limit.is_exceeded();
    limit.end();
    let after = read(&limit, sent).await;

    assert_eq!((before.unwrap(), after.unwrap()), (sent, sent));
    assert!(awaited.is_err() && is_exceeded);
    assert!(!limit.is_exceeded());
}
