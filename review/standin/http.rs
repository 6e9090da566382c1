//! HTTP/1.1 on blocking sockets, one thread a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(given, _)| given.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let target = self.line.split(' ').nth(1).unwrap_or_default();
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value));
        values.next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        match (bytes[at], digits.and_then(|digits| u8::from_str_radix(digits, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a message; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    if reader.read_line(&mut message.line).ok()? == 0 {
        return None;
    }
    message.line = message.line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Writes a complete response.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &[(&str, String)], body: &[u8]) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves each request of each connection with `answer`, which writes the response.
pub fn serve(listener: TcpListener, answer: impl Fn(Message, &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static) {
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_message(&mut reader) {
                    if answer(request, &mut writer).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Makes a call on a new connection; `None` if there is no complete answer in time.
pub fn call(address: &str, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Option<Message> {
    let timeout = Duration::from_secs(5);
    let mut stream = TcpStream::connect_timeout(&address.parse().ok()?, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\nconnection: close\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    read_message(&mut BufReader::new(stream))
}
