//! Fixtures: a fleet of daemons with stand-ins of the platform and of engines, and a client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_daemon::{Daemon, DaemonAddresses, PlatformInterfaces};
use cuminramp_http::{CallTimeouts, HttpClient, read_body};
use cuminramp_platform::TableStore;
use cuminramp_settings::{DaemonSettings, parse_settings};
use cuminramp_standin::{
    Engine, EngineSettings, FaultyLink, MemoryPlatform, PlatformFaults, PlatformSettings,
};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::runtime::{Builder, Runtime};

/// Model that the engines serve.
pub(crate) const MODEL: &str = "villancico-llm";
/// Team whose key most tests use.
pub(crate) const TEAM: &str = "parish-desk";

/// Timeout of each wait in a test; a wait that succeeds needs a small part of it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a call from its start to the response head, and again for the body.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a response's body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Settings with short intervals; with the defaults, tests would wait much longer.
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
    /// Stops the host as `kill -9` does: none of its tasks continues.
    pub(crate) fn kill(&mut self) {
        drop(self.daemon.take());
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Stops the host gracefully, as SIGTERM does.
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

/// A complete answer.
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

    /// Returns the `cuminramp_code` of an error, or 0 if there is none.
    pub(crate) fn code(&self) -> u64 {
        self.json()["error"]["cuminramp_code"].as_u64().unwrap_or_default()
    }

    /// Returns whether the request ran, as the answer's header states it.
    pub(crate) fn execution(&self) -> String {
        self.headers["cuminramp-execution"].to_str().unwrap().to_owned()
    }

    /// Returns the text of a streamed answer and whether the stream ended with `[DONE]`.
    pub(crate) fn streamed(&self) -> (String, bool) {
        let text = self.text();
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let mut content = String::new();
        let mut is_complete = false;
        for event in events {
            is_complete |= event == "[DONE]";
            let chunk: Value = serde_json::from_str(event).unwrap_or(Value::Null);
            content.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        }
        (content, is_complete)
    }
}

/// A fleet of daemons, with engines and the stand-in of the platform.
pub(crate) struct Fleet {
    pub(crate) runtime: Runtime,
    pub(crate) platform: Arc<MemoryPlatform>,
    pub(crate) hosts: Vec<TestHost>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) key: String,
    client: HttpClient,
}

/// Size of a fleet, limits of its team and settings of its engines.
pub(crate) struct FleetPlan {
    pub(crate) hosts: usize,
    pub(crate) engines: usize,
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    pub(crate) engine: EngineSettings,
    /// Number of crashes after which an item that runs alone ends with an error; 0 if there is none.
    pub(crate) item_crashes: u32,
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
        FleetPlan { hosts: 3, engines: 3, rate: 10_000.0, burst: 10_000.0, engine, item_crashes: 0 }
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
    /// Starts a fleet of `hosts` hosts and three engines, with a team whose rate never limits a test.
    pub(crate) fn start(hosts: usize) -> Self {
        Self::start_plan(FleetPlan { hosts, ..FleetPlan::default() })
    }

    /// Starts a fleet and waits until it is ready to serve.
    pub(crate) fn start_plan(plan: FleetPlan) -> Self {
        let mut fleet = Self::start_stand_ins(&plan);
        for host in 0..plan.hosts {
            let mut settings = test_settings(host % 3);
            settings.batch.item_crashes = plan.item_crashes;
            fleet.add_host_with(settings);
        }
        fleet.wait("every host lists all hosts as alive", |fleet| {
            (0..fleet.hosts.len()).all(|host| fleet.live_hosts(host) == fleet.hosts.len())
        });
        fleet.declare(&fleet.declarations(plan.rate, plan.burst));
        fleet.key = fleet.grant(0, TEAM);
        fleet.wait_for_key();
        fleet.wait("all shards are owned", |fleet| fleet.all_shards_owned());
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
        let timeouts = CallTimeouts { connect: CALL_TIMEOUT, response_head: CALL_TIMEOUT };
        Fleet {
            runtime,
            platform,
            hosts: Vec::new(),
            engines,
            key: String::new(),
            client: HttpClient::new(timeouts),
        }
    }

    /// Starts one host that has a key in force and claims no shards during a test: a new host claims shards
    /// only after some reads of the host list, and this one reads it only every ten minutes.
    pub(crate) fn start_unready() -> Self {
        let mut settings = test_settings(0);
        settings.peers.list_poll_ms = 600_000;
        Self::start_one(settings)
    }

    /// Starts one host with `settings` and waits until its team's key is in force there.
    pub(crate) fn start_one(settings: DaemonSettings) -> Self {
        Self::start_one_with(FleetPlan::default(), settings, |_| ())
    }

    /// Starts one host with `settings` and the engines of `plan`, with declarations that `adjust` may change,
    /// and waits until its team's key is in force there.
    pub(crate) fn start_one_with(
        plan: FleetPlan,
        settings: DaemonSettings,
        adjust: impl FnOnce(&mut Value),
    ) -> Self {
        let mut fleet = Self::start_stand_ins(&plan);
        fleet.add_host_with(settings);
        let mut declarations = fleet.declarations(plan.rate, plan.burst);
        adjust(&mut declarations);
        fleet.declare(&declarations);
        fleet.key = fleet.grant(0, TEAM);
        fleet.wait_for_key();
        fleet
    }

    /// Starts one more host and returns its index.
    pub(crate) fn add_host(&mut self) -> usize {
        let settings = test_settings(self.hosts.len() % 3);
        self.add_host_with(settings)
    }

    /// Starts one more host with `settings` and returns its index.
    pub(crate) fn add_host_with(&mut self, settings: DaemonSettings) -> usize {
        self.add_host_on(settings, self.platform.clone())
    }

    /// Starts one more host that reads and writes `table` and returns its index.
    pub(crate) fn add_host_on(
        &mut self,
        settings: DaemonSettings,
        table: Arc<dyn TableStore>,
    ) -> usize {
        let runtime = new_runtime();
        let platform = self.platform.clone();
        let interfaces = PlatformInterfaces { table, objects: platform.clone(), hosts: platform };
        let daemon = runtime.block_on(Daemon::start_with(settings, interfaces)).unwrap();
        let addresses = daemon.addresses();
        self.hosts.push(TestHost { runtime: Some(runtime), daemon: Some(daemon), addresses });
        self.hosts.len() - 1
    }

    /// Returns declarations of the fleet's engines, with `rate` and `burst` for [`TEAM`].
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

    /// Opens a link into which faults can be injected.
    pub(crate) fn open_link(&self) -> FaultyLink {
        self.runtime.block_on(FaultyLink::open()).unwrap()
    }

    /// Starts one more host, which other hosts reach through `link`.
    pub(crate) fn add_host_behind(&mut self, link: &FaultyLink) -> usize {
        let settings = test_settings(self.hosts.len() % 3);
        let host = self.add_host_with(DaemonSettings {
            advertised_peer_address: link.address().to_string(),
            ..settings
        });
        link.set_server(self.hosts[host].addresses.peer);
        host
    }

    /// Applies declarations as the next generation.
    pub(crate) fn declare(&self, declarations: &Value) {
        let answer =
            self.operator(0, Method::PUT, "/operator/declarations", &declarations.to_string());
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    }

    /// Grants a key to a team through a host and returns it.
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

    /// Returns the number of hosts that a host lists as alive, itself included.
    pub(crate) fn live_hosts(&self, host: usize) -> usize {
        let hosts = self.operator(host, Method::GET, "/operator/hosts", "").json();
        let hosts = hosts["hosts"].as_array().cloned().unwrap_or_default();
        hosts.iter().filter(|host| host["status"] == "alive").count()
    }

    /// Returns whether every shard of the first team has an owner and all running hosts agree on it.
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

    /// Waits until a condition holds.
    ///
    /// # Panics
    ///
    /// If it doesn't hold within [`WAIT_TIMEOUT`].
    pub(crate) fn wait(&self, what: &str, condition: impl Fn(&Fleet) -> bool) {
        let started = std::time::Instant::now();
        while !condition(self) {
            assert!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
            std::thread::sleep(POLL_INTERVAL);
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
            let body = read_body(body, MAX_BODY_BYTES, CALL_TIMEOUT).await.ok()?;
            Some(Answer { status: head.status, headers: head.headers, body })
        })
    }

    /// Calls the operator interface of a host.
    pub(crate) fn operator(&self, host: usize, method: Method, path: &str, body: &str) -> Answer {
        let address = self.hosts[host].addresses.operator;
        let request = Request::builder().method(method).header("content-type", "application/json");
        self.send(address, request, path, body).unwrap_or_else(|| panic!("{path}: no answer"))
    }

    /// Calls a host with a key; returns `None` if the connection breaks.
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

    /// Calls a host with a key and headers.
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

    /// Calls a host with the key of [`TEAM`].
    pub(crate) fn call(&self, host: usize, method: Method, path: &str, body: &str) -> Answer {
        self.call_as(host, &self.key, method, path, body, &[])
    }

    /// Requests a chat completion from a host.
    pub(crate) fn chat(&self, host: usize, prompt: &str, tokens: usize, stream: bool) -> Answer {
        self.call(host, Method::POST, "/v1/chat/completions", &chat_body(prompt, tokens, stream))
    }

    /// Requests a streamed chat completion from an address.
    pub(crate) fn stream_from(&self, address: SocketAddr, prompt: &str, tokens: usize) -> Answer {
        let request = Request::builder()
            .method(Method::POST)
            .header("authorization", format!("Bearer {}", self.key));
        let body = chat_body(prompt, tokens, true);
        self.send(address, request, "/v1/chat/completions", &body).expect("the stream failed")
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

    /// Waits until a job is no longer in progress and returns it.
    pub(crate) fn finished_job(&self, host: usize, id: &str) -> Value {
        self.wait("the job ends", |fleet| fleet.job(host, id)["status"] != "in_progress");
        self.job(host, id)
    }

    /// Returns the lines of a job's output or error file, sorted by the names of their items.
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

/// Returns the input line of a batch item.
pub(crate) fn item_line(name: &str, prompt: &str) -> String {
    let body: Value = serde_json::from_str(&chat_body(prompt, 4, false)).unwrap();
    json!({"custom_id": name, "method": "POST", "url": "/v1/chat/completions", "body": body})
        .to_string()
}

/// Returns the input lines of `count` items, each with its own name and prompt.
pub(crate) fn item_lines(count: usize) -> String {
    let lines =
        (0..count).map(|index| item_line(&format!("item-{index:05}"), &format!("prompt {index}")));
    lines.collect::<Vec<_>>().join("\n")
}
