//! Engines, as the pages describe them. Each runs up to eight requests at once, and drops one whose connection closes.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head};

/// What an engine does with a request.
#[derive(Clone, Copy)]
pub struct Work {
    /// Events of a stream, and the time between two of them.
    pub events: u64,
    pub pause: Duration,
    /// Bytes by which the data of each event is longer than its number needs.
    pub padding: usize,
    /// Length of an answer that is no stream.
    pub plain_bytes: usize,
}

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub engine: String,
    pub ended: Option<Instant>,
    /// Whether the whole answer was written.
    pub is_whole: bool,
    /// Events written.
    pub events: u64,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

fn event(path: &str, number: u64, padding: usize) -> String {
    format!("id: {number}\ndata: {path} token {number}{}\n\n", "x".repeat(padding))
}

/// Starts an engine and returns its address.
pub fn start(id: &str, work: Work, runs: Runs) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    let id = id.to_owned();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs) = (id.clone(), runs.clone());
            std::thread::spawn(move || serve(stream, &id, work, &runs));
        }
    });
    Ok(address)
}

fn serve(stream: TcpStream, id: &str, work: Work, runs: &Runs) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_head(&mut reader)?;
        read_body(&mut reader, &head)?;
        if head.header("x-expect-instance").is_some_and(|expected| expected != id) {
            let answer = "HTTP/1.1 421 -\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
            writer.write_all(answer.as_bytes())?;
            continue;
        }
        let request = head.header("x-request-id").unwrap_or("").to_owned();
        let index = {
            let mut runs = runs.lock().unwrap();
            runs.push(Run {
                request: request.clone(),
                engine: id.to_owned(),
                ended: None,
                is_whole: false,
                events: 0,
            });
            runs.len() - 1
        };
        let outcome = answer(&mut writer, &head, &request, work, runs, index);
        {
            let mut runs = runs.lock().unwrap();
            runs[index].ended = Some(Instant::now());
            runs[index].is_whole = outcome.is_ok();
        }
        outcome?;
    }
}

fn answer(
    writer: &mut TcpStream,
    head: &Head,
    request: &str,
    work: Work,
    runs: &Runs,
    index: usize,
) -> std::io::Result<()> {
    let signed = format!("x-request-id: {request}\r\nx-server-stamp: s.{request}\r\n");
    if head.path().starts_with("/read/") {
        std::thread::sleep(Duration::from_millis(20));
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{signed}content-type: text/plain\r\ncontent-length: {}\r\n\r\n",
            work.plain_bytes
        );
        writer.write_all(answer.as_bytes())?;
        return writer.write_all(&vec![b'a'; work.plain_bytes]);
    }
    let answer = format!(
        "HTTP/1.1 200 OK\r\n{signed}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    writer.write_all(answer.as_bytes())?;
    let resumed = head.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
    for number in resumed.map_or(0, |last| last + 1)..work.events {
        let text = event(head.path(), number, work.padding);
        writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        runs.lock().unwrap()[index].events = number + 1;
        std::thread::sleep(work.pause);
    }
    writer.write_all(b"0\r\n\r\n")
}
