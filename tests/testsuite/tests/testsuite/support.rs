//! Fixtures: a fleet of daemons with stand-ins, and a caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_daemon::{Daemon, DaemonAddresses, PlatformInterfaces};
use cuminramp_http::{CallTimeouts, HttpClient, read_body};
use cuminramp_settings::{DaemonSettings, parse_settings};
use cuminramp_standin::{
    Engine, EngineSettings, FaultyLink, MemoryPlatform, PlatformFaults, PlatformSettings,
};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::runtime::{Builder, Runtime};

/// The model of the engines.
pub(crate) const MODEL: &str = "villancico-llm";
/// The team that most tests call as.
pub(crate) const TEAM: &str = "parish-desk";

/// No wait of a test is longer; a healthy run needs a small part of it.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const WAIT_PAUSE: Duration = Duration::from_millis(20);
const CALL_LIMIT: Duration = Duration::from_secs(30);
const MOST_BODY_BYTES: usize = 64 << 20;

/// Settings with short intervals, so that tests need not wait for those of real hosts.
const SETTINGS: &str = r#"{
  "caller-address": "127.0.0.1:0",
  "operator-address": "127.0.0.1:0",
  "peer-address": "127.0.0.1:0",
  "log-level": "error",
  "platform": { "list-lag-ms": 4000, "timeout-ms": 1000 },
  "peers": { "probe-interval-ms": 50, "probe-timeout-ms": 100, "suspicion-ms": 300, "list-poll-ms": 100 },
  "configuration": { "poll-ms": 200, "unconfirmed-after-ms": 2000 },
  "quota": { "shards": 24, "shard-poll-ms": 200, "moves-per-poll": 24 },
  "targets": { "load-poll-ms": 100, "progress-timeout-ms": 1000, "first-byte-timeout-ms": 1000 },
  "batch": { "poll-ms": 200, "takeover-after-ms": 300, "min-chunk-items": 8 },
  "limits": { "max-body-bytes": 100000, "body-timeout-ms": 500, "head-timeout-ms": 800 }
}"#;

/// A daemon on a runtime of its own.
pub(crate) struct TestHost {
    runtime: Option<Runtime>,
    daemon: Option<Daemon>,
    pub(crate) addresses: DaemonAddresses,
}

impl TestHost {
    /// Ends it as kill -9 would: nothing of it runs on.
    pub(crate) fn kill(&mut self) {
        drop(self.daemon.take());
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Ends it as SIGTERM would.
    pub(crate) fn leave(&mut self) {
        if let (Some(runtime), Some(daemon)) = (&self.runtime, self.daemon.take()) {
            runtime.block_on(daemon.leave());
        }
    }
}

impl Drop for TestHost {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An answer, read whole.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The numbered code of a refusal.
    pub(crate) fn code(&self) -> u64 {
        self.json()["error"]["cuminramp_code"].as_u64().unwrap_or_default()
    }

    pub(crate) fn execution(&self) -> String {
        self.headers["cuminramp-execution"].to_str().unwrap().to_owned()
    }

    /// The words of a streamed answer, and whether the stream ended whole.
    pub(crate) fn streamed(&self) -> (String, bool) {
        let text = self.text();
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let mut words = String::new();
        let mut whole = false;
        for event in events {
            whole |= event == "[DONE]";
            let chunk: Value = serde_json::from_str(event).unwrap_or(Value::Null);
            words.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        }
        (words, whole)
    }
}

/// Daemons, engines and the platform stand-in.
pub(crate) struct Fleet {
    pub(crate) runtime: Runtime,
    pub(crate) platform: Arc<MemoryPlatform>,
    pub(crate) hosts: Vec<TestHost>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) key: String,
    client: HttpClient,
}

/// How a fleet is built.
pub(crate) struct FleetPlan {
    pub(crate) hosts: usize,
    pub(crate) engines: usize,
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    pub(crate) engine: EngineSettings,
}

impl Default for FleetPlan {
    fn default() -> Self {
        let engine = EngineSettings {
            step_base_us: 1_000,
            step_sequence_us: 50,
            report_lag_ms: 50,
            restart_ms: 300,
            ..EngineSettings::default()
        };
        FleetPlan { hosts: 3, engines: 3, rate: 10_000.0, burst: 10_000.0, engine }
    }
}

fn new_runtime() -> Runtime {
    Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}

pub(crate) fn test_settings(zone: usize) -> DaemonSettings {
    let settings = parse_settings(SETTINGS).unwrap();
    DaemonSettings { availability_zone: format!("zone-{zone}"), random_seed: 7, ..settings }
}

fn platform_settings() -> PlatformSettings {
    PlatformSettings {
        list_lag_ms: 200,
        host_ttl_ms: 400,
        writes_per_second: 100_000.0,
        reads_per_second: 100_000.0,
        ..PlatformSettings::default()
    }
}

impl Fleet {
    /// A fleet of `hosts` hosts and three engines, with a team that may do anything.
    pub(crate) fn start(hosts: usize) -> Self {
        Self::start_plan(FleetPlan { hosts, ..FleetPlan::default() })
    }

    /// A fleet as planned, ready to serve.
    pub(crate) fn start_plan(plan: FleetPlan) -> Self {
        let mut fleet = Self::start_stand_ins(&plan);
        for _ in 0..plan.hosts {
            fleet.add_host();
        }
        fleet.wait("hosts know each other", |fleet| {
            (0..fleet.hosts.len()).all(|host| fleet.live_hosts(host) == fleet.hosts.len())
        });
        fleet.declare(&fleet.declarations(plan.rate, plan.burst));
        fleet.key = fleet.grant(0, TEAM);
        fleet.wait_for_key();
        fleet.wait("shards are owned", |fleet| fleet.all_shards_owned());
        fleet
    }

    fn start_stand_ins(plan: &FleetPlan) -> Self {
        let runtime = new_runtime();
        let (platform, engines) = runtime.block_on(async {
            let platform = Arc::new(MemoryPlatform::new(platform_settings()));
            let mut engines = Vec::new();
            for _ in 0..plan.engines {
                let listen = SocketAddr::from(([127, 0, 0, 1], 0));
                engines.push(Engine::start(listen, plan.engine.clone()).await.unwrap());
            }
            (platform, engines)
        });
        let limits = CallTimeouts { connect: CALL_LIMIT, first_byte: CALL_LIMIT };
        Fleet {
            runtime,
            platform,
            hosts: Vec::new(),
            engines,
            key: String::new(),
            client: HttpClient::new(limits),
        }
    }

    /// One host that waits for long before it claims shards, with a key in force.
    pub(crate) fn start_unready() -> Self {
        let plan = FleetPlan { hosts: 0, ..FleetPlan::default() };
        let mut fleet = Self::start_stand_ins(&plan);
        let mut settings = test_settings(0);
        settings.peers.list_poll_ms = 600_000;
        fleet.add_host_with(settings);
        fleet.declare(&fleet.declarations(plan.rate, plan.burst));
        fleet.key = fleet.grant(0, TEAM);
        fleet.wait_for_key();
        fleet
    }

    /// Starts one more host.
    pub(crate) fn add_host(&mut self) -> usize {
        let settings = test_settings(self.hosts.len() % 3);
        self.add_host_with(settings)
    }

    pub(crate) fn add_host_with(&mut self, settings: DaemonSettings) -> usize {
        let runtime = new_runtime();
        let platform = self.platform.clone();
        let interfaces = PlatformInterfaces {
            table: platform.clone(),
            objects: platform.clone(),
            hosts: platform,
        };
        let daemon = runtime.block_on(Daemon::start_with(settings, interfaces)).unwrap();
        let addresses = daemon.addresses();
        self.hosts.push(TestHost { runtime: Some(runtime), daemon: Some(daemon), addresses });
        self.hosts.len() - 1
    }

    pub(crate) fn declarations(&self, rate: f64, burst: f64) -> Value {
        let targets: Vec<Value> = self
            .engines
            .iter()
            .enumerate()
            .map(|(index, engine)| {
                json!({"name": format!("engine-{index}"), "address": engine.address().to_string()})
            })
            .collect();
        let service = self.engines[0].address().to_string();
        json!({
            "routes": [
                {"name": "chat", "model": MODEL, "pool": "engines", "timeout-ms": 20000},
                {"name": "bookings", "path-prefix": "/bookings", "pool": "desk", "timeout-ms": 3000},
            ],
            "pools": [
                {"name": "engines", "targets": targets},
                {"name": "desk", "kind": "services", "targets": [{"name": "desk-0", "address": service}]},
            ],
            "teams": [
                {"name": TEAM, "rate": rate, "burst": burst},
                {"name": "boat-desk", "rate": 10000, "burst": 10000},
            ],
        })
    }

    /// Opens a link that can fail.
    pub(crate) fn open_link(&self) -> FaultyLink {
        self.runtime.block_on(FaultyLink::open()).unwrap()
    }

    /// Starts one more host, which other hosts reach through a link that can fail.
    pub(crate) fn add_host_behind(&mut self, link: &FaultyLink) -> usize {
        let settings = test_settings(self.hosts.len() % 3);
        let host = self.add_host_with(DaemonSettings {
            advertised_peer_address: link.address().to_string(),
            ..settings
        });
        link.set_server(self.hosts[host].addresses.peer);
        host
    }

    /// Makes declarations the next generation.
    pub(crate) fn declare(&self, declarations: &Value) {
        let answer =
            self.operator(0, Method::PUT, "/operator/declarations", &declarations.to_string());
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    }

    /// Grants a key through a host.
    pub(crate) fn grant(&self, host: usize, team: &str) -> String {
        let body = json!({"team": team}).to_string();
        let answer = self.operator(host, Method::POST, "/operator/keys", &body);
        answer.json()["key"].as_str().unwrap_or_else(|| panic!("{}", answer.text())).to_owned()
    }

    fn wait_for_key(&self) {
        self.wait("the key is in force on all hosts", |fleet| {
            (0..fleet.hosts.len())
                .all(|host| fleet.models(host, &fleet.key).status == StatusCode::OK)
        });
    }

    pub(crate) fn models(&self, host: usize, key: &str) -> Answer {
        self.call_as(host, key, Method::GET, "/v1/models", "", &[])
    }

    /// How many hosts a host would send callers to.
    pub(crate) fn live_hosts(&self, host: usize) -> usize {
        let hosts = self.operator(host, Method::GET, "/operator/hosts", "").json();
        let hosts = hosts["hosts"].as_array().cloned().unwrap_or_default();
        hosts.iter().filter(|host| host["status"] == "alive").count()
    }

    /// Whether all of a team's shards have an owner that every live host names.
    pub(crate) fn all_shards_owned(&self) -> bool {
        let views = (0..self.hosts.len()).filter(|host| self.hosts[*host].daemon.is_some());
        let views: Vec<Value> = views
            .map(|host| self.operator(host, Method::GET, "/operator/teams", "").json())
            .collect();
        let owned = |view: &Value| {
            let owners = view["teams"][0]["owners"].as_array().cloned().unwrap_or_default();
            !owners.is_empty() && owners.iter().all(|owner| owner["host"].is_string())
        };
        views.iter().all(|view| owned(view) && view["teams"] == views[0]["teams"])
    }

    /// Waits until something holds.
    pub(crate) fn wait(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        let started = std::time::Instant::now();
        while !holds(self) {
            assert!(started.elapsed() < WAIT_LIMIT, "in vain: {what}");
            std::thread::sleep(WAIT_PAUSE);
        }
    }

    fn send(
        &self,
        address: SocketAddr,
        request: http::request::Builder,
        path: &str,
        body: &str,
    ) -> Option<Answer> {
        let request = request
            .uri(format!("http://{address}{path}"))
            .body(Full::new(Bytes::from(body.to_owned())))
            .unwrap();
        self.runtime.block_on(async {
            let response = self.client.send(request).await.ok()?;
            let (head, body) = response.into_parts();
            let body = read_body(body, MOST_BODY_BYTES, CALL_LIMIT).await.ok()?;
            Some(Answer { status: head.status, headers: head.headers, body })
        })
    }

    /// Calls a host's operator interface.
    pub(crate) fn operator(&self, host: usize, method: Method, path: &str, body: &str) -> Answer {
        let address = self.hosts[host].addresses.operator;
        let request = Request::builder().method(method).header("content-type", "application/json");
        self.send(address, request, path, body).unwrap_or_else(|| panic!("{path}: no answer"))
    }

    /// Calls a host as a caller with a key; `None` where the connection breaks.
    pub(crate) fn try_call(
        &self,
        host: usize,
        key: &str,
        method: Method,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Option<Answer> {
        let address = self.hosts[host].addresses.caller;
        let mut request = Request::builder().method(method);
        if !key.is_empty() {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        self.send(address, request, path, body)
    }

    pub(crate) fn call_as(
        &self,
        host: usize,
        key: &str,
        method: Method,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Answer {
        self.try_call(host, key, method, path, body, headers)
            .unwrap_or_else(|| panic!("{path}: no answer"))
    }

    pub(crate) fn call(&self, host: usize, method: Method, path: &str, body: &str) -> Answer {
        self.call_as(host, &self.key, method, path, body, &[])
    }

    /// Asks for a chat completion.
    pub(crate) fn chat(&self, host: usize, prompt: &str, tokens: usize, stream: bool) -> Answer {
        self.call(host, Method::POST, "/v1/chat/completions", &chat_body(prompt, tokens, stream))
    }

    /// Asks an address for a streamed chat completion.
    pub(crate) fn stream_from(&self, address: SocketAddr, prompt: &str, tokens: usize) -> Answer {
        let request = Request::builder()
            .method(Method::POST)
            .header("authorization", format!("Bearer {}", self.key));
        let body = chat_body(prompt, tokens, true);
        self.send(address, request, "/v1/chat/completions", &body).expect("the stream breaks off")
    }

    /// Uploads items and creates a job; returns its identifier.
    pub(crate) fn create_job(&self, host: usize, lines: &str) -> String {
        let file = self.upload(host, lines);
        let body = json!({"input_file_id": file, "endpoint": "/v1/chat/completions"}).to_string();
        let answer = self.call(host, Method::POST, "/v1/batches", &body);
        answer.json()["id"].as_str().unwrap_or_else(|| panic!("{}", answer.text())).to_owned()
    }

    /// Uploads a file; returns its identifier.
    pub(crate) fn upload(&self, host: usize, lines: &str) -> String {
        let form = format!(
            "--edge\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --edge\r\nContent-Disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\n{lines}\r\n--edge--\r\n"
        );
        let headers = [("content-type", "multipart/form-data; boundary=edge")];
        let answer = self.call_as(host, &self.key, Method::POST, "/v1/files", &form, &headers);
        answer.json()["id"].as_str().unwrap_or_else(|| panic!("{}", answer.text())).to_owned()
    }

    pub(crate) fn job(&self, host: usize, id: &str) -> Value {
        self.call(host, Method::GET, &format!("/v1/batches/{id}"), "").json()
    }

    /// Waits for a job's end and returns it.
    pub(crate) fn finished_job(&self, host: usize, id: &str) -> Value {
        self.wait("the job ends", |fleet| fleet.job(host, id)["status"] != "in_progress");
        self.job(host, id)
    }

    /// The lines of a job's output or error file, by the names of their items.
    pub(crate) fn job_lines(&self, host: usize, job: &Value, file: &str) -> Vec<(String, Value)> {
        let Some(id) = job[file].as_str() else { return Vec::new() };
        let answer = self.call(host, Method::GET, &format!("/v1/files/{id}/content"), "");
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        let mut lines: Vec<(String, Value)> = answer
            .text()
            .lines()
            .map(|line| serde_json::from_str::<Value>(line).unwrap())
            .map(|line| (line["custom_id"].as_str().unwrap().to_owned(), line))
            .collect();
        lines.sort_by(|left, right| left.0.cmp(&right.0));
        lines
    }

    pub(crate) fn set_platform(&self, faults: PlatformFaults) {
        self.platform.set_faults(faults);
    }
}

pub(crate) fn chat_body(prompt: &str, tokens: usize, stream: bool) -> String {
    json!({
        "model": MODEL, "stream": stream, "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
    .to_string()
}

/// The line of a batch item.
pub(crate) fn item_line(name: &str, prompt: &str) -> String {
    let body: Value = serde_json::from_str(&chat_body(prompt, 4, false)).unwrap();
    json!({"custom_id": name, "method": "POST", "url": "/v1/chat/completions", "body": body})
        .to_string()
}

/// Lines of `count` items with names and prompts of their own.
pub(crate) fn item_lines(count: usize) -> String {
    let lines =
        (0..count).map(|index| item_line(&format!("item-{index:05}"), &format!("prompt {index}")));
    lines.collect::<Vec<_>>().join("\n")
}
