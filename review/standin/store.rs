//! The platform's store: rows with versions, a feed of their changes, and objects.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, respond, serve};
use crate::json::{Json, number, table, text};

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    /// Version, key and value of each change; `None` for a row that was removed.
    changes: Vec<(u64, Key, Option<String>)>,
    objects: BTreeMap<String, Vec<u8>>,
    /// Total length of the objects.
    object_bytes: usize,
    /// Number of objects that were not stored because of [`MAX_OBJECT_BYTES`].
    full: usize,
}

/// "Once 400 MB are stored in total, writes receive 507." Only objects are counted and refused.
const MAX_OBJECT_BYTES: usize = 400_000_000;

#[derive(Default)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Mutex<Option<Instant>>,
}

fn key_of(entry: &Json) -> Key {
    let field = |name| entry.get(name).text().to_owned();
    (field("table"), field("part"), field("key"))
}

fn row_body(key: &Key, value: Option<&str>, version: u64) -> Json {
    let mut row = vec![
        ("table", text(&key.0)),
        ("part", text(&key.1)),
        ("key", text(&key.2)),
        ("recordVersion", number(version)),
    ];
    match value {
        Some(value) => row.push(("value", text(value))),
        None => row.push(("deleted", Json::Bool(true))),
    }
    Json::Table(row.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Store> {
        let store = Arc::new(Store::default());
        *store.started.lock().unwrap() = Some(Instant::now());
        let served = store.clone();
        serve(listener, move |request, stream| {
            let (status, body) = served.answer(&request);
            respond(stream, status, &[("content-type", "application/json".into())], &body)
        });
        store
    }

    /// Writes a row with an empty part, as the operator and the engines do. `value` is in base64.
    pub fn put(&self, table: &str, key: &str, value: String) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let (version, key) = (rows.version, (table.to_owned(), String::new(), key.to_owned()));
        rows.rows.insert(key.clone(), (value.clone(), version));
        rows.changes.push((version, key, Some(value)));
        self.changed.notify_all();
    }

    fn reply(&self, rows: Vec<Json>, version: u64, has_more: bool) -> (u16, Vec<u8>) {
        let now_ms = self.started.lock().unwrap().map_or(0, |at| at.elapsed().as_millis() as u64);
        let body = table([
            ("rows", Json::List(rows)),
            ("recordVersion", number(version)),
            ("nowMs", number(now_ms)),
            ("hasMore", Json::Bool(has_more)),
        ]);
        (200, body.to_string().into_bytes())
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        std::thread::sleep(Duration::from_millis(4));
        match (request.method(), request.path()) {
            ("POST", "/api/rows-tx") => self.commit(&request.text()),
            ("GET", "/api/rows-get") => self.read(request),
            ("GET", "/api/rows-parts") => self.list_parts(request),
            ("GET", "/api/rows-feed") => self.feed(request),
            (method, path) => match path.strip_prefix("/api/").and_then(|path| path.split_once('/')) {
                Some(("blob-put", name)) if method == "PUT" => {
                    self.put_object(name, &request.body)
                }
                Some(("blob-get", name)) => match self.rows.lock().unwrap().objects.get(name) {
                    Some(object) => (200, object.clone()),
                    None => (404, b"{}".to_vec()),
                },
                Some(("blob-drop", name)) => {
                    let mut rows = self.rows.lock().unwrap();
                    let removed = rows.objects.remove(name);
                    rows.object_bytes -= removed.map_or(0, |object| object.len());
                    (200, b"{}".to_vec())
                }
                _ => (404, b"{}".to_vec()),
            },
        }
    }

    fn put_object(&self, name: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let mut rows = self.rows.lock().unwrap();
        let earlier = rows.objects.get(name).map_or(0, Vec::len);
        let total = rows.object_bytes - earlier + body.len();
        if total > MAX_OBJECT_BYTES {
            rows.full += 1;
            return (507, b"{}".to_vec());
        }
        rows.object_bytes = total;
        rows.objects.insert(name.to_owned(), body.to_vec());
        (200, b"{}".to_vec())
    }

    /// Returns the number of objects, their total length, and how often one was refused because the store is full.
    pub fn object_counts(&self) -> (usize, usize, usize) {
        let rows = self.rows.lock().unwrap();
        (rows.objects.len(), rows.object_bytes, rows.full)
    }

    fn commit(&self, body: &str) -> (u16, Vec<u8>) {
        let Some(call) = Json::parse(body) else { return (400, b"{}".to_vec()) };
        let mut rows = self.rows.lock().unwrap();
        let version_of = |rows: &Rows, key: &Key| rows.rows.get(key).map_or(0, |(_, version)| *version);
        let conditions = call.get("expectRev").list();
        let is_met = |entry: &Json| version_of(&rows, &key_of(entry)) == entry.get("recordVersion").number();
        if !conditions.iter().all(is_met) {
            let current = conditions.iter().map(key_of).map(|key| {
                let value = rows.rows.get(&key).map_or("", |(value, _)| value);
                row_body(&key, Some(value), version_of(&rows, &key))
            });
            let (_, body) = self.reply(current.collect(), rows.version, false);
            return (412, body);
        }
        rows.version += 1;
        let version = rows.version;
        for entry in call.get("put").list() {
            let (key, value) = (key_of(entry), entry.get("value").text().to_owned());
            rows.rows.insert(key.clone(), (value.clone(), version));
            rows.changes.push((version, key, Some(value)));
        }
        for entry in call.get("remove").list() {
            let key = key_of(entry);
            if rows.rows.remove(&key).is_some() {
                rows.changes.push((version, key, None));
            }
        }
        self.changed.notify_all();
        self.reply(vec![], version, false)
    }

    fn read(&self, request: &Message) -> (u16, Vec<u8>) {
        let (name, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query("to"));
        let limit = request.query("maxItems").parse().unwrap_or(500usize).min(500);
        let rows = self.rows.lock().unwrap();
        let start = (name.clone(), part.clone(), from);
        let range = rows.rows.range(start..);
        let within = |key: &Key| key.0 == name && key.1 == part && (to.is_empty() || key.2 < to);
        let mut found: Vec<Json> = range
            .take_while(|(key, _)| within(key))
            .take(limit + 1)
            .map(|(key, (value, version))| row_body(key, Some(value), *version))
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        self.reply(found, rows.version, has_more)
    }

    fn list_parts(&self, request: &Message) -> (u16, Vec<u8>) {
        let (name, after) = (request.query("table"), request.query("after"));
        let rows = self.rows.lock().unwrap();
        let mut parts: Vec<&String> = rows.rows.keys().filter(|key| key.0 == name).map(|key| &key.1).collect();
        parts.dedup();
        let parts = parts.into_iter().filter(|part| after.is_empty() || **part > after).map(text);
        let body = table([
            ("parts", Json::List(parts.collect())),
            ("hasMore", Json::Bool(false)),
            ("recordVersion", number(rows.version)),
        ]);
        (200, body.to_string().into_bytes())
    }

    fn feed(&self, request: &Message) -> (u16, Vec<u8>) {
        let (name, after) = (request.query("table"), request.query("after").parse().unwrap_or(0));
        let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changed: Vec<Json> = rows
                .changes
                .iter()
                .filter(|(version, key, _)| *version > after && key.0 == name)
                .map(|(version, key, value)| row_body(key, value.as_deref(), *version))
                .collect();
            let now = Instant::now();
            if !changed.is_empty() || now >= until {
                return self.reply(changed, rows.version, false);
            }
            rows = self.changed.wait_timeout(rows, until - now).unwrap().0;
        }
    }
}
