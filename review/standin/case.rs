//! Case 1: more than half of the machines are lost for good while they hold batch jobs.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::{self, Run, Runs};
use crate::http::call;
use crate::json::{Json, base64, number, table, text};
use crate::store::Store;

const HOSTS: usize = 5;
/// Number of hosts that are killed and not started again.
const LOST: usize = 3;
const ENGINES: usize = 4;
const JOBS: usize = 20;
const ITEMS: usize = 6;
/// `finishS` of the small sites.
const FINISH: Duration = Duration::from_secs(18);
/// Span before the end in which no engine had an item of the job, and in which the engines were under half full.
const CALM: Duration = Duration::from_secs(5);
/// Span before the end in which no item was finished.
const NONE_FINISHED: Duration = Duration::from_secs(3);
const MAX_START: Duration = Duration::from_secs(20);

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const CALLERS: u16 = 0;
const READINESS: u16 = 1;
const STEERING: u16 = 2;
const PEERS: u16 = 3;
const METRICS: u16 = 4;

/// Gateways that run; they are killed when this is dropped.
struct Fleet {
    port: u16,
    folder: PathBuf,
    processes: Vec<Option<Child>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|host| self.kill(host));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn ip(host: usize) -> String {
    format!("127.0.0.{}", 21 + host)
}

/// Returns the first of five ports that are free at the addresses of all hosts.
fn free_ports() -> Option<u16> {
    let seed = std::process::id() % 300;
    (0..300).map(|turn| 20_000 + 10 * ((seed + turn * 7) % 300) as u16).find(|base| {
        let all = (0..HOSTS).flat_map(|host| (0..5).map(move |port| (ip(host), base + port)));
        all.into_iter().all(|(ip, port)| {
            let udp = std::net::UdpSocket::bind((ip.as_str(), port));
            udp.is_ok() && TcpListener::bind((ip.as_str(), port)).is_ok()
        })
    })
}

impl Fleet {
    fn address(&self, host: usize, port: u16) -> String {
        format!("{}:{}", ip(host), self.port + port)
    }

    fn start(&mut self, gateway: &str, host: usize, store: &str) -> Result<(), String> {
        let zones = ZONES.iter().map(|zone| table([("zone", text(*zone)), ("region", text("region-a"))]));
        let contracts = ["base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "tenants", "quota"];
        let settings = table([
            ("name", text(format!("edge-{host}"))),
            ("availability-zone", text(ZONES[host % ZONES.len()])),
            ("caller-address", text(self.address(host, CALLERS))),
            ("readiness-address", text(self.address(host, READINESS))),
            ("steering-address", text(self.address(host, STEERING))),
            ("peer-address", text(self.address(host, PEERS))),
            ("metrics-address", text(self.address(host, METRICS))),
            ("seeds", Json::List((0..3).map(|seed| text(self.address(seed, PEERS))).collect())),
            ("first-start", Json::Bool(true)),
            ("store-address", text(store)),
            ("grace-s", number(8)),
            ("steering-keep-s", number(2)),
            ("rate-tolerance-share", Json::Number(0.1)),
            ("rate-tolerance-requests", number(20)),
            ("rate-window-s", number(5)),
            ("requirements", Json::List(contracts.iter().map(|name| text(*name)).collect())),
            ("cpu-share", Json::Number(0.5)),
            ("memory-mb", number(300)),
            ("zone-regions", Json::List(zones.collect())),
            ("log-level", text("info")),
        ]);
        let path = self.folder.join(format!("edge-{host}.json"));
        std::fs::write(&path, settings.to_string()).map_err(|error| error.to_string())?;
        let log = File::create(self.folder.join(format!("edge-{host}.log"))).map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(gateway)
            .arg("gateway")
            .env("CUMINRAMP_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{gateway}: {error}"))?;
        self.processes.push(Some(child));
        Ok(())
    }

    fn kill(&mut self, host: usize) {
        if let Some(mut child) = self.processes[host].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn is_ready(&self, host: usize) -> bool {
        let answer = call(&self.address(host, READINESS), "GET", "/api/ready", &[], b"");
        answer.is_some_and(|answer| answer.status() == 200)
    }
}

/// Writes the configuration: one route for batch jobs, one team.
fn configure(store: &Store) {
    let route = table([
        ("name", text("jobs")),
        ("host", text("jobs.example")),
        ("prefix", text("/jobs/")),
        ("kind", text("bulk")),
        ("service", text("llm")),
        ("timeoutMs", number(15_000)),
        ("sloMs", number(400)),
        ("dueMs", number(18_000)),
        ("maxAttempts", number(3)),
        ("maxAgeS", number(60)),
        ("maxCount", number(0)),
        ("resumable", Json::Bool(true)),
        ("gapAimMs", number(250)),
        ("priority", number(2)),
    ]);
    let config = table([
        ("version", number(1)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![table([("name", text("llm")), ("maxConns", number(180))])])),
        ("limits", table([
            ("maxHeaderBytes", number(16_384)),
            ("maxBodyBytes", number(4_194_304)),
            ("headerTimeoutMs", number(5_000)),
            ("idleTimeoutMs", number(30_000)),
        ])),
        ("tenants", Json::List(vec![table([
            ("name", text("team-a")),
            ("apiKeys", Json::List(vec![text("key-a")])),
            ("ratePerS", number(0)),
            ("burst", number(0)),
        ])])),
    ]);
    store.put("op", "config", base64(config.to_string().as_bytes()));
}

const HEADERS: [(&str, &str); 2] = [("host", "jobs.example"), ("authorization", "Bearer key-a")];

fn item_id(job: usize, item: usize) -> String {
    format!("{:016x}", 0x1000_0000 + job * 256 + item)
}

fn job_id(job: usize) -> String {
    format!("{:016x}", 0x9000_0000usize + job * 7919)
}

fn submission(job: usize) -> Vec<u8> {
    let items = (0..ITEMS).map(|item| {
        table([
            ("id", text(item_id(job, item))),
            ("path", text("/jobs/1")),
            ("headers", table([("X-Model", text("m")), ("X-Token-Counts", text("100,40"))])),
            ("body", text(base64(format!("body of {}", item_id(job, item)).as_bytes()))),
            ("tokens", number(140)),
        ])
    });
    table([("items", Json::List(items.collect()))]).to_string().into_bytes()
}

/// Reads the results of a job at a host: the state and the output of each listed item.
fn read_job(fleet: &Fleet, host: usize, job: usize) -> Result<BTreeMap<String, (String, String)>, String> {
    let mut listed = BTreeMap::new();
    loop {
        let path = format!("/api/lots/{}?after={}", job_id(job), listed.len());
        let answer = call(&fleet.address(host, CALLERS), "GET", &path, &HEADERS, b"").ok_or("no answer")?;
        if answer.status() != 200 {
            return Err(format!("status {}", answer.status()));
        }
        let page = Json::parse(&answer.text()).ok_or("no JSON")?;
        let results = page.get("results").list();
        for result in results {
            let field = |name| result.get(name).text().to_owned();
            listed.insert(field("id"), (field("state"), field("text")));
        }
        if results.is_empty() || listed.len() >= ITEMS {
            return Ok(listed);
        }
    }
}

/// Returns whether a run was under way at any time since `since`.
fn is_since(run: &Run, since: Duration) -> bool {
    run.ended_at.is_none_or(|ended_at| ended_at >= since)
}

/// Runs the case. Returns whether the rule was kept.
pub fn majority_lost(gateway: &str, record: &str, has_trouble: bool) -> Result<bool, String> {
    let began = Instant::now();
    let mut lines = String::new();
    let outcome = run(gateway, has_trouble, began, &mut lines);
    match &outcome {
        Ok(true) => lines.push_str("outcome: the rule was kept\n"),
        Ok(false) => lines.push_str("outcome: LOST\n"),
        Err(reason) => drop(writeln!(lines, "outcome: could not run: {reason}")),
    }
    std::fs::write(Path::new(record), lines).map_err(|error| error.to_string())?;
    outcome
}

fn run(gateway: &str, has_trouble: bool, began: Instant, lines: &mut String) -> Result<bool, String> {
    let bind = || TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string());
    let store_listener = bind()?;
    let store_address = store_listener.local_addr().map_err(|error| error.to_string())?.to_string();
    let store = Store::start(store_listener);
    configure(&store);
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    for engine in 0..ENGINES {
        let zone = ZONES[engine % ZONES.len()];
        engine::start(bind()?, format!("i-{engine}"), "llm", zone, store.clone(), runs.clone(), began);
    }
    let folder = std::env::temp_dir().join(format!("majority-lost-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    let port = free_ports().ok_or("no free ports")?;
    let mut fleet = Fleet { port, folder, processes: Vec::new() };
    for host in 0..HOSTS {
        fleet.start(gateway, host, &store_address)?;
    }
    while !(0..HOSTS).all(|host| fleet.is_ready(host)) {
        if began.elapsed() > MAX_START {
            return Err("the gateways are not ready".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(4));
    let _ = writeln!(lines, "{HOSTS} gateways, {ENGINES} engines, {JOBS} jobs of {ITEMS} items; TROUBLE={}", u8::from(has_trouble));

    let mut accepted = Vec::new();
    for job in 0..JOBS {
        let host = job % HOSTS;
        let id = job_id(job);
        let mut headers = HEADERS.to_vec();
        headers.extend([("x-request-id", id.as_str()), ("content-type", "application/json")]);
        let answer = call(&fleet.address(host, CALLERS), "POST", "/jobs/", &headers, &submission(job));
        let status = answer.map_or(0, |answer| answer.status());
        let _ = writeln!(lines, "{:6.2} s job {id} sent to edge-{host}: {status}", began.elapsed().as_secs_f64());
        if status == 202 {
            accepted.push(job);
        }
    }
    if accepted.len() < JOBS {
        return Err(format!("{} of {JOBS} jobs were accepted without any disruption", accepted.len()));
    }
    if has_trouble {
        for host in 0..LOST {
            fleet.kill(host);
            let _ = writeln!(lines, "{:6.2} s edge-{host} is killed for good", began.elapsed().as_secs_f64());
        }
    }
    let finish_at = Instant::now() + FINISH;
    while Instant::now() < finish_at {
        std::thread::sleep(Duration::from_millis(500));
    }

    let reader = HOSTS - 1;
    let now = began.elapsed();
    let runs = runs.lock().unwrap().clone();
    for run in &runs {
        let end = run.ended_at.map_or_else(|| "still runs".to_owned(), |at| format!("ended at {:.2} s", at.as_secs_f64()));
        let whole = if run.is_whole { ", whole" } else { "" };
        let _ = writeln!(lines, "{:6.2} s {} runs item {}: {end}{whole}", run.began_at.as_secs_f64(), run.engine, run.item);
    }
    let under_way: u32 = runs.iter().filter(|run| is_since(run, now.saturating_sub(CALM))).count() as u32;
    let is_half_empty = under_way * 2 < engine::SLOTS * ENGINES as u32;
    let last_finished = runs.iter().filter(|run| run.is_whole).filter_map(|run| run.ended_at).max().unwrap_or_default();
    let is_quiet = now.saturating_sub(last_finished) > NONE_FINISHED;
    let mut is_kept = true;
    for job in accepted {
        let listed = read_job(&fleet, reader, job);
        let listed = listed.map_err(|reason| format!("job {} can't be read: {reason}", job_id(job)))?;
        for (item, (state, output)) in &listed {
            if state == "complete" && *output != engine::output_of(item) {
                let _ = writeln!(lines, "item {item} is complete with another output");
            }
        }
        let missing: Vec<String> = (0..ITEMS).map(|item| item_id(job, item)).filter(|item| !listed.contains_key(item)).collect();
        let is_had = runs.iter().any(|run| missing.contains(&run.item) && is_since(run, now.saturating_sub(CALM)));
        let is_left = !missing.is_empty() && !is_had && is_half_empty && is_quiet;
        let note = if is_left { ": the others are left lying" } else { "" };
        let _ = writeln!(lines, "{:6.2} s job {}: {} of {ITEMS} items listed{note}", began.elapsed().as_secs_f64(), job_id(job), listed.len());
        is_kept &= !is_left;
    }
    Ok(is_kept)
}
