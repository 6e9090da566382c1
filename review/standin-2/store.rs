//! The platform's store of rows and objects, as the pages describe it. It loses nothing and answers in order.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, Reply, serve};
use crate::json::{Json, base64, parse, quote};

/// Time for an answer, and for a transaction.
const ANSWER: Duration = Duration::from_millis(4);
const TRANSACTION: Duration = Duration::from_millis(5);
/// Limits of one answer.
const MAX_ROWS: usize = 500;
const MAX_BYTES: usize = 1_000_000;
/// Time for a call on an object, and the bytes that all such calls move in a second.
const OBJECT_ANSWER: Duration = Duration::from_millis(25);
const OBJECT_BYTES_PER_S: f64 = 80e6;
/// Bytes of all objects together beyond which writes are refused.
const MAX_OBJECT_BYTES: usize = 400_000_000;

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    /// In base64; empty if the row was removed.
    value: String,
    version: u64,
    is_removed: bool,
}

#[derive(Default)]
struct Content {
    rows: BTreeMap<Key, Row>,
    changes: Vec<(Key, Row)>,
    objects: BTreeMap<String, Vec<u8>>,
    object_bytes: usize,
    refused_objects: usize,
    version: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
}

fn key_of(entry: &Json) -> Key {
    (entry.text("table"), entry.text("part"), entry.text("key"))
}

fn row_text(key: &Key, row: &Row) -> String {
    format!(
        r#"{{"table":{},"part":{},"key":{},"value":"{}","recordVersion":{},"deleted":{}}}"#,
        quote(&key.0),
        quote(&key.1),
        quote(&key.2),
        row.value,
        row.version,
        row.is_removed
    )
}

impl Store {
    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        serve(listener, move |head, body| store.answer(head, body));
    }

    /// Writes one row, as the operator and the engines do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.write(vec![(key, base64(value.as_bytes()), false)]);
    }

    fn write(&self, entries: Vec<(Key, String, bool)>) -> u64 {
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        content.version += 1;
        let version = content.version;
        for (key, value, is_removed) in entries {
            let row = Row { value, version, is_removed };
            match is_removed {
                true => content.rows.remove(&key),
                false => content.rows.insert(key.clone(), row.clone()),
            };
            content.changes.push((key, row));
        }
        changed.notify_all();
        version
    }

    fn answer(&self, head: &Head, body: &[u8]) -> Reply {
        std::thread::sleep(ANSWER);
        let path = head.path().to_owned();
        match (head.method(), path.as_str()) {
            ("POST", "/api/rows-tx") => self.transact(body),
            ("GET", "/api/rows-get") => self.range(head),
            ("GET", "/api/rows-parts") => self.parts(head),
            ("GET", "/api/rows-feed") => self.feed(head),
            (method, path) if path.starts_with("/api/blob-") => self.object(method, path, body),
            _ => Reply::new(404, "{}"),
        }
    }

    fn transact(&self, body: &[u8]) -> Reply {
        std::thread::sleep(TRANSACTION);
        let Some(body) = parse(body) else { return Reply::new(400, "{}") };
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        let held =
            |key: &Key, content: &Content| content.rows.get(key).map_or(0, |row| row.version);
        let fits = body
            .list("expectRev")
            .iter()
            .all(|entry| held(&key_of(entry), &content) == entry.number("recordVersion"));
        if !fits {
            let keys = body.list("expectRev").iter().map(key_of);
            let rows: Vec<String> = keys
                .filter_map(|key| content.rows.get(&key).map(|row| row_text(&key, row)))
                .collect();
            return Reply::new(412, format!(r#"{{"rows":[{}]}}"#, rows.join(",")));
        }
        content.version += 1;
        let version = content.version;
        for entry in body.list("put") {
            let row = Row { value: entry.text("value"), version, is_removed: false };
            content.rows.insert(key_of(entry), row.clone());
            content.changes.push((key_of(entry), row));
        }
        for entry in body.list("remove") {
            let row = Row { value: String::new(), version, is_removed: true };
            if content.rows.remove(&key_of(entry)).is_some() {
                content.changes.push((key_of(entry), row));
            }
        }
        changed.notify_all();
        Reply::new(200, format!(r#"{{"recordVersion":{version},"nowMs":0}}"#))
    }

    fn range(&self, head: &Head) -> Reply {
        let (table, part) = (head.query("table"), head.query("part"));
        let (from, to) = (head.query("from"), head.query("to"));
        let max = head.query("maxItems").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let content = self.content.0.lock().unwrap();
        let (mut rows, mut bytes, mut has_more) = (Vec::new(), 0, false);
        let first = (table.clone(), part.clone(), from);
        for (key, row) in content.rows.range(first..) {
            if key.0 != table || key.1 != part || (!to.is_empty() && key.2 >= to) {
                break;
            }
            let text = row_text(key, row);
            if rows.len() == max || (bytes + text.len() > MAX_BYTES && !rows.is_empty()) {
                has_more = true;
                break;
            }
            bytes += text.len();
            rows.push(text);
        }
        let (rows, version) = (rows.join(","), content.version);
        Reply::new(
            200,
            format!(
                r#"{{"rows":[{rows}],"hasMore":{has_more},"recordVersion":{version},"nowMs":0}}"#
            ),
        )
    }

    fn parts(&self, head: &Head) -> Reply {
        let (table, after) = (head.query("table"), head.query("after"));
        let content = self.content.0.lock().unwrap();
        let mut parts: Vec<&str> = content
            .rows
            .keys()
            .filter(|key| key.0 == table && (after.is_empty() || key.1 > after))
            .map(|key| key.1.as_str())
            .collect();
        parts.dedup();
        let parts: Vec<String> = parts.into_iter().map(quote).collect();
        Reply::new(200, format!(r#"{{"parts":[{}],"hasMore":false}}"#, parts.join(",")))
    }

    fn feed(&self, head: &Head) -> Reply {
        let (table, after) = (head.query("table"), head.query("after").parse().unwrap_or(0));
        let wait = Duration::from_millis(head.query("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        loop {
            let newer = content.changes.iter().rev().take_while(|(_, row)| row.version > after);
            let mut rows: Vec<String> = newer
                .filter(|(key, _)| key.0 == table)
                .map(|(key, row)| row_text(key, row))
                .collect();
            rows.reverse();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (rows, version) = (rows.join(","), content.version);
                let text = format!(r#"{{"rows":[{rows}],"recordVersion":{version},"nowMs":0}}"#);
                return Reply::new(200, text);
            }
            content = changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn object(&self, method: &str, path: &str, body: &[u8]) -> Reply {
        std::thread::sleep(OBJECT_ANSWER - ANSWER);
        let name = path.rsplit('/').next().unwrap_or("").to_owned();
        let mut content = self.content.0.lock().unwrap();
        match method {
            "PUT" => {
                let before = content.objects.get(&name).map_or(0, Vec::len);
                if content.object_bytes - before + body.len() > MAX_OBJECT_BYTES {
                    content.refused_objects += 1;
                    return Reply::new(507, "{}");
                }
                // All calls share the bandwidth, so the others wait meanwhile.
                std::thread::sleep(Duration::from_secs_f64(body.len() as f64 / OBJECT_BYTES_PER_S));
                content.object_bytes = content.object_bytes - before + body.len();
                content.objects.insert(name, body.to_vec());
                Reply::new(200, "{}")
            }
            "GET" => match content.objects.get(&name) {
                Some(object) => Reply::new(200, object.clone()),
                None => Reply::new(404, "{}"),
            },
            _ => {
                let removed = content.objects.remove(&name).map_or(0, |object| object.len());
                content.object_bytes -= removed;
                Reply::new(200, "{}")
            }
        }
    }

    /// Returns the number of objects, their bytes, and how many writes of objects were refused.
    pub fn objects(&self) -> (usize, usize, usize) {
        let content = self.content.0.lock().unwrap();
        (content.objects.len(), content.object_bytes, content.refused_objects)
    }

    /// Returns the names of all objects.
    pub fn names(&self) -> Vec<String> {
        self.content.0.lock().unwrap().objects.keys().cloned().collect()
    }
}
