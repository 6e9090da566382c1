//! Callers that send one request on a new connection, as the pages describe them.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::fleet::{KEY, ROUTE_HOST};
use crate::http::{is_chunked, read_chunk, read_head};

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The whole answer, with its status and length.
    Whole(u16, usize),
    /// The connection ended after the request was sent and before the answer was complete: the status, if it had come,
    /// and the bytes of the body.
    Cut(Option<u16>, usize),
    /// No connection, or it ended before the request was sent.
    NotSent,
    /// The caller's time was up.
    TimeUp(usize),
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub request: String,
    pub sent: Instant,
    pub ended: Instant,
    pub end: End,
}

/// Sends a request with a deadline of five seconds. Reads at most `bytes_per_s`, as over a link of that width.
pub fn send(address: SocketAddr, id: &str, path: &str, bytes_per_s: Option<f64>) -> Outcome {
    let sent = Instant::now();
    let deadline = sent + Duration::from_secs(5);
    let end = exchange(address, id, path, bytes_per_s, deadline);
    Outcome { request: id.to_owned(), sent, ended: Instant::now(), end }
}

fn exchange(
    address: SocketAddr,
    id: &str,
    path: &str,
    bytes_per_s: Option<f64>,
    deadline: Instant,
) -> End {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return End::NotSent;
    };
    let body = "hello";
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Counts: 450,250\r\nX-Prompt-Prefix: 5c1e07a2:200,{id}:250\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if stream.set_nodelay(true).is_err() || stream.write_all(request.as_bytes()).is_err() {
        return End::NotSent;
    }
    let timed = stream.try_clone();
    let Ok(timed) = timed else { return End::NotSent };
    let set_timeout = || {
        let left = deadline.saturating_duration_since(Instant::now());
        !left.is_zero() && timed.set_read_timeout(Some(left)).is_ok()
    };
    let mut reader = BufReader::with_capacity(16 << 10, stream);
    set_timeout();
    let is_over = || Instant::now() >= deadline;
    let Ok(head) = read_head(&mut reader) else {
        return if is_over() { End::TimeUp(0) } else { End::Cut(None, 0) };
    };
    let status = head.status();
    let mut received = 0;
    if is_chunked(&head) {
        loop {
            set_timeout();
            match read_chunk(&mut reader) {
                Ok(chunk) if chunk.is_empty() => return End::Whole(status, received),
                Ok(chunk) => received += chunk.len(),
                Err(_) if is_over() => return End::TimeUp(received),
                Err(_) => return End::Cut(Some(status), received),
            }
        }
    }
    let length = head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let began = Instant::now();
    let mut buffer = vec![0; 16 << 10];
    while received < length {
        if let Some(rate) = bytes_per_s {
            let due = began + Duration::from_secs_f64(received as f64 / rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        if !set_timeout() {
            return End::TimeUp(received);
        }
        match reader.read(&mut buffer) {
            Ok(0) => return End::Cut(Some(status), received),
            Ok(count) => received += count,
            Err(_) if is_over() => return End::TimeUp(received),
            Err(_) => return End::Cut(Some(status), received),
        }
    }
    End::Whole(status, received)
}
