//! Engines: answer each item with a stream of events, in a limited number of slots.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, respond, serve};
use crate::json::{base64, number, table, text};
use crate::store::Store;

pub const SLOTS: u32 = 8;
/// Maximum number of events of an item, and the time between two.
pub const EVENTS: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// A run of an item: its ID and path, where it ran, when it began and ended, and its end.
#[derive(Clone, Debug)]
pub struct Run {
    pub item: String,
    pub path: String,
    pub pool: String,
    pub engine: String,
    pub began_at: Duration,
    pub ended_at: Option<Duration>,
    pub is_whole: bool,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts an engine and registers it in the store.
pub fn start(listener: TcpListener, id: String, pool: &str, zone: &str, store: Arc<Store>, runs: Runs, began: Instant) {
    let address = listener.local_addr().unwrap().to_string();
    let (pool, zone, name) = (pool.to_owned(), zone.to_owned(), id.clone());
    let served_pool = pool.clone();
    let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    std::thread::spawn(move || {
        for sequence in 1.. {
            let entry = table([
                ("service", text(&pool)),
                ("address", text(&address)),
                ("zone", text(&zone)),
                ("version", text("v1")),
                ("slots", number(SLOTS.into())),
                ("state", text("ready")),
                ("coldLeftMs", number(0)),
                ("seq", number(sequence)),
                ("born", number(born)),
            ]);
            store.put("servers", &name, base64(entry.to_string().as_bytes()));
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
    let running = Arc::new(AtomicU32::new(0));
    serve(listener, move |request, stream| {
        let occupied = running.fetch_add(1, Ordering::SeqCst);
        let outcome = answer(&id, &served_pool, &request, stream, occupied, &runs, began);
        running.fetch_sub(1, Ordering::SeqCst);
        outcome
    });
}

fn answer(
    id: &str,
    pool: &str,
    request: &Message,
    stream: &mut TcpStream,
    occupied: u32,
    runs: &Runs,
    began: Instant,
) -> std::io::Result<()> {
    let item = request.header("x-request-id").unwrap_or_default().to_owned();
    let mut headers = vec![("x-request-id", item.clone()), ("x-server-load", format!("{occupied},0,{SLOTS}"))];
    if request.method() == "GET" {
        headers.push(("x-instance-id", id.to_owned()));
        return respond(stream, 200, &headers, b"");
    }
    if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
        headers.push(("x-not-run", "1".into()));
        return respond(stream, 421, &headers, b"");
    }
    if occupied >= SLOTS {
        headers.push(("x-not-run", "1".into()));
        return respond(stream, 503, &headers, b"");
    }
    let tokens = request.header("x-token-counts").and_then(|counts| counts.split_once(',')?.1.parse().ok()).unwrap_or(EVENTS);
    let first = request.header("last-event-id").and_then(|last| last.parse::<u64>().ok()).map_or(0, |last| last + 1);
    let index = {
        let mut runs = runs.lock().unwrap();
        runs.push(Run {
            item: item.clone(),
            path: request.path().to_owned(),
            pool: pool.to_owned(),
            engine: id.to_owned(),
            began_at: began.elapsed(),
            ended_at: None,
            is_whole: false,
        });
        runs.len() - 1
    };
    let outcome = write_events(stream, pool, &item, first..EVENTS.min(tokens), tokens, &headers);
    let mut runs = runs.lock().unwrap();
    runs[index].ended_at = Some(began.elapsed());
    runs[index].is_whole = outcome.is_ok();
    outcome
}

fn write_events(
    stream: &mut TcpStream,
    pool: &str,
    item: &str,
    events: std::ops::Range<u64>,
    tokens: u64,
    headers: &[(&str, String)],
) -> std::io::Result<()> {
    let mut head = String::from("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n");
    head.push_str("x-server-stamp: stamp\r\n");
    headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    for event in events {
        std::thread::sleep(EVENT_INTERVAL);
        let event = format!("id: {event}\ndata: {}\n\n", event_data(pool, item, event, tokens));
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Data of an event: longer where an item has more tokens than events.
fn event_data(pool: &str, item: &str, event: u64, tokens: u64) -> String {
    let length = if tokens > EVENTS { tokens as usize } else { 0 };
    format!("{pool} {item} {event} {}", "x".repeat(length))
}

/// Whole output of an item that ran in a pool.
pub fn output_of(pool: &str, item: &str) -> String {
    let lines: Vec<String> = (0..EVENTS).map(|event| event_data(pool, item, event, EVENTS)).collect();
    lines.join("\n")
}
