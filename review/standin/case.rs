//! The cases, each a sequence of steps and a check of one rule.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::{self, Run, Runs};
use crate::fleet::{CALLERS, Fleet, ZONES};
use crate::http::call;
use crate::json::{Json, base64, number, table, text};
use crate::store::Store;

/// `finishS` of the small sites.
const FINISH: Duration = Duration::from_secs(18);
/// Span before the end in which no engine had an item of the job, and in which the engines were under half full.
const CALM: Duration = Duration::from_secs(5);
/// Span before the end in which no item was finished.
const NONE_FINISHED: Duration = Duration::from_secs(3);

/// Items of a job with a long input, and the length of each one's body. The sheet's longest body has 360 KB.
const LONG_ITEMS: usize = 10;
const LONG_BODY: usize = 290_000;
/// Time within which the jobs with long inputs are done.
const MAX_EARLIER: Duration = Duration::from_secs(60);

const HEADERS: [(&str, &str); 2] = [("host", "jobs.example"), ("authorization", "Bearer key-a")];

/// A route of the configuration: its name, prefix and pool.
type Route = (&'static str, &'static str, &'static str);

/// What a case consists of.
struct Plan {
    gateways: usize,
    /// Pool of each engine.
    engines: &'static [&'static str],
    jobs: usize,
    /// Paths of the items of each job.
    paths: Vec<&'static str>,
    routes: &'static [Route],
    /// Routes of the next configuration, which is the disruption of a case that has one.
    next_routes: Option<&'static [Route]>,
    /// Number of gateways that are lost for good.
    lost: usize,
    /// Number of jobs with long inputs that are submitted and done before the others.
    earlier_jobs: usize,
    /// Tokens out of each item of the others.
    tokens: u64,
    check: fn(&State, &mut String) -> Result<bool, String>,
}

/// What a check looks at.
struct State<'a> {
    plan: &'a Plan,
    fleet: &'a Fleet,
    began: Instant,
    runs: Vec<Run>,
}

const BASE: &[Route] = &[("jobs", "/jobs/", "pool-a")];
const WITH_NESTED: &[Route] = &[("jobs", "/jobs/", "pool-a"), ("special", "/jobs/special/", "pool-b")];
const WITHOUT_JOBS: &[Route] = &[("other", "/other/", "pool-a")];

fn plan(name: &str) -> Option<Plan> {
    let plan = Plan {
        gateways: 5,
        engines: &["pool-a", "pool-a", "pool-a", "pool-a"],
        jobs: 20,
        paths: vec!["/jobs/1"; 6],
        routes: BASE,
        next_routes: None,
        lost: 0,
        earlier_jobs: 0,
        tokens: engine::EVENTS,
        check: check_left_lying,
    };
    match name {
        "majority-lost" => Some(Plan { lost: 3, ..plan }),
        "route-added" => {
            let mut paths = vec!["/jobs/1"; 20];
            paths[0] = "/jobs/special/1";
            let engines = &["pool-a", "pool-a", "pool-b", "pool-b"];
            Some(Plan { gateways: 3, engines, jobs: 6, paths, next_routes: Some(WITH_NESTED), check: check_pools, ..plan })
        }
        "store-full" => Some(Plan { gateways: 3, jobs: 20, earlier_jobs: 150, tokens: 1_200, ..plan }),
        "route-removed" => Some(Plan { gateways: 3, next_routes: Some(WITHOUT_JOBS), ..plan }),
        _ => None,
    }
}

/// Writes a configuration with these routes.
fn configure(store: &Store, version: u64, routes: &[Route]) {
    let pools = ["pool-a", "pool-b"].map(|pool| table([("name", text(pool)), ("maxConns", number(180))]));
    let routes = routes.iter().map(|(name, prefix, pool)| {
        table([
            ("name", text(*name)),
            ("host", text("jobs.example")),
            ("prefix", text(*prefix)),
            ("kind", text("bulk")),
            ("service", text(*pool)),
            ("timeoutMs", number(15_000)),
            ("sloMs", number(400)),
            ("dueMs", number(18_000)),
            ("maxAttempts", number(3)),
            ("maxAgeS", number(60)),
            ("maxCount", number(0)),
            ("resumable", Json::Bool(true)),
            ("gapAimMs", number(250)),
            ("priority", number(2)),
        ])
    });
    let config = table([
        ("version", number(version)),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(pools.to_vec())),
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

fn item_id(job: usize, item: usize) -> String {
    format!("{:016x}", 0x1000_0000 + job * 256 + item)
}

fn job_id(job: usize) -> String {
    format!("{:016x}", 0x9000_0000usize + job * 7919)
}

fn submission(plan: &Plan, job: usize) -> Vec<u8> {
    let counts = format!("100,{}", plan.tokens);
    let items = plan.paths.iter().enumerate().map(|(item, path)| {
        table([
            ("id", text(item_id(job, item))),
            ("path", text(*path)),
            ("headers", table([("X-Model", text("m")), ("X-Token-Counts", text(&counts))])),
            ("body", text(base64(format!("body of {}", item_id(job, item)).as_bytes()))),
            ("tokens", number(140)),
        ])
    });
    table([("items", Json::List(items.collect()))]).to_string().into_bytes()
}

/// A job of ten items with 290 KB each, which run for a moment.
fn long_submission(job: usize) -> Vec<u8> {
    let body = base64(&vec![b'x'; LONG_BODY]);
    let items = (0..LONG_ITEMS).map(|item| {
        table([
            ("id", text(item_id(job, item))),
            ("path", text("/jobs/1")),
            ("headers", table([("X-Model", text("m")), ("X-Token-Counts", text("100,2"))])),
            ("body", text(&body)),
            ("tokens", number(102)),
        ])
    });
    table([("items", Json::List(items.collect()))]).to_string().into_bytes()
}

/// Reads the results of a job at the last gateway: the state and the output of each listed item.
fn read_job(state: &State, job: usize) -> Result<BTreeMap<String, (String, String)>, String> {
    let mut listed = BTreeMap::new();
    loop {
        let path = format!("/api/lots/{}?after={}", job_id(job), listed.len());
        let address = state.fleet.address(state.plan.gateways - 1, CALLERS);
        let answer = call(&address, "GET", &path, &HEADERS, b"").ok_or("no answer")?;
        if answer.status() != 200 {
            return Err(format!("job {}: status {}", job_id(job), answer.status()));
        }
        let page = Json::parse(&answer.text()).ok_or("no JSON")?;
        let results = page.get("results").list();
        for result in results {
            let field = |name| result.get(name).text().to_owned();
            listed.insert(field("id"), (field("state"), field("text")));
        }
        if results.is_empty() {
            return Ok(listed);
        }
    }
}

/// Returns whether a run was under way at any time since `since`.
fn is_since(run: &Run, since: Duration) -> bool {
    run.ended_at.is_none_or(|ended_at| ended_at >= since)
}

/// LOST: an item that isn't listed, though no engine had one of its job for a while and there was capacity for it.
fn check_left_lying(state: &State, lines: &mut String) -> Result<bool, String> {
    let now = state.began.elapsed();
    let since = now.saturating_sub(CALM);
    let under_way = state.runs.iter().filter(|run| is_since(run, since)).count();
    let is_half_empty = under_way * 2 < engine::SLOTS as usize * state.plan.engines.len();
    let whole = state.runs.iter().filter(|run| run.is_whole);
    let last_finished = whole.filter_map(|run| run.ended_at).max().unwrap_or_default();
    let is_quiet = now.saturating_sub(last_finished) > NONE_FINISHED;
    let mut is_kept = true;
    for job in 0..state.plan.jobs {
        let listed = read_job(state, job)?;
        let items = (0..state.plan.paths.len()).map(|item| item_id(job, item));
        let missing: Vec<String> = items.filter(|item| !listed.contains_key(item)).collect();
        let is_had = state.runs.iter().any(|run| missing.contains(&run.item) && is_since(run, since));
        let is_left = !missing.is_empty() && !is_had && is_half_empty && is_quiet;
        let dead = listed.values().filter(|(state, _)| state == "dead_letter").count();
        let note = if is_left { ": the others are left lying" } else { "" };
        let _ = writeln!(
            lines,
            "{:6.2} s job {}: {} of {} items listed, {dead} of them as dead_letter{note}",
            state.began.elapsed().as_secs_f64(),
            job_id(job),
            listed.len(),
            state.plan.paths.len(),
        );
        is_kept &= !is_left;
    }
    Ok(is_kept)
}

/// ROUTE: an item that ran in a pool to which no configuration sends its path.
fn check_pools(state: &State, lines: &mut String) -> Result<bool, String> {
    let is_allowed = |run: &Run| {
        let routes = state.plan.routes.iter().chain(state.plan.next_routes.unwrap_or_default());
        let mut matching = routes.filter(|(_, prefix, _)| run.path.starts_with(prefix));
        matching.any(|(_, _, pool)| *pool == run.pool)
    };
    let wrong: Vec<&Run> = state.runs.iter().filter(|run| !is_allowed(run)).collect();
    let (mut listed, mut foreign) = (0, 0);
    for job in 0..state.plan.jobs {
        for (item, (result, output)) in read_job(state, job)? {
            listed += 1;
            let is_foreign = |run: &&Run| run.item == item && output == engine::output_of(&run.pool, &item);
            foreign += usize::from(result == "complete" && wrong.iter().copied().any(|run| is_foreign(&run)));
        }
    }
    let _ = writeln!(
        lines,
        "{:6.2} s {} runs, {} of them in a pool to which no route leads that the path matches; {listed} of {} items \
         listed, {foreign} of them as complete with the output of such a run",
        state.began.elapsed().as_secs_f64(),
        state.runs.len(),
        wrong.len(),
        state.plan.jobs * state.plan.paths.len(),
    );
    Ok(wrong.is_empty())
}

/// Runs a case and writes its record. Returns whether the rule was kept.
pub fn run(name: &str, gateway: &str, record: &str, has_trouble: bool) -> Result<bool, String> {
    let plan = plan(name).ok_or_else(|| format!("no case {name}"))?;
    let mut lines = String::new();
    let outcome = play(name, &plan, gateway, has_trouble, &mut lines);
    match &outcome {
        Ok(true) => lines.push_str("outcome: the rule was kept\n"),
        Ok(false) => lines.push_str("outcome: the rule was broken\n"),
        Err(reason) => drop(writeln!(lines, "outcome: could not run: {reason}")),
    }
    std::fs::write(record, lines).map_err(|error| error.to_string())?;
    outcome
}

/// Submits jobs with long inputs until the store is full, and waits until all results of those that were accepted are
/// listed.
fn run_earlier_jobs(plan: &Plan, fleet: &Fleet, store: &Store, began: Instant, lines: &mut String) -> Result<(), String> {
    let (mut accepted, mut refused) = (Vec::new(), 0);
    for job in plan.jobs..plan.jobs + plan.earlier_jobs {
        let (id, host) = (job_id(job), job % plan.gateways);
        let mut headers = HEADERS.to_vec();
        headers.extend([("x-request-id", id.as_str()), ("content-type", "application/json")]);
        let answer = call(&fleet.address(host, CALLERS), "POST", "/jobs/", &headers, &long_submission(job));
        match answer.map_or(0, |answer| answer.status()) {
            202 => accepted.push(job),
            503 => refused += 1,
            status => return Err(format!("job {id}: status {status}")),
        }
        if refused > 0 {
            break;
        }
    }
    let (objects, bytes, full) = store.object_counts();
    let _ = writeln!(
        lines,
        "{:6.2} s {} jobs with long inputs accepted, {refused} refused; {objects} objects with {bytes} bytes, {full} times full",
        began.elapsed().as_secs_f64(),
        accepted.len(),
    );
    let state = State { plan, fleet, began, runs: vec![] };
    while let Some(job) = accepted.last().copied() {
        if read_job(&state, job)?.len() >= LONG_ITEMS {
            accepted.pop();
        } else if began.elapsed() > MAX_EARLIER {
            return Err("the jobs with long inputs are not done".into());
        } else {
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    let _ = writeln!(lines, "{:6.2} s all items of these jobs are listed", began.elapsed().as_secs_f64());
    Ok(())
}

fn play(name: &str, plan: &Plan, gateway: &str, has_trouble: bool, lines: &mut String) -> Result<bool, String> {
    let began = Instant::now();
    let bind = || TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string());
    let store_listener = bind()?;
    let store_address = store_listener.local_addr().map_err(|error| error.to_string())?.to_string();
    let store = Store::start(store_listener);
    configure(&store, 1, plan.routes);
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    for (index, pool) in plan.engines.iter().enumerate() {
        let zone = ZONES[index % ZONES.len()];
        engine::start(bind()?, format!("i-{index}"), pool, zone, store.clone(), runs.clone(), began);
    }
    let mut fleet = Fleet::start(gateway, plan.gateways, &store_address, name)?;
    let trouble = u8::from(has_trouble);
    let _ = writeln!(lines, "{} gateways, engines in {:?}, routes {:?}; TROUBLE={trouble}", plan.gateways, plan.engines, plan.routes);
    if has_trouble && plan.earlier_jobs > 0 {
        run_earlier_jobs(plan, &fleet, &store, began, lines)?;
    }
    for job in 0..plan.jobs {
        let host = job % plan.gateways;
        let id = job_id(job);
        let mut headers = HEADERS.to_vec();
        headers.extend([("x-request-id", id.as_str()), ("content-type", "application/json")]);
        let answer = call(&fleet.address(host, CALLERS), "POST", "/jobs/", &headers, &submission(plan, job));
        let status = answer.map_or(0, |answer| answer.status());
        let _ = writeln!(lines, "{:6.2} s job {id} sent to edge-{host}: {status}", began.elapsed().as_secs_f64());
        if status != 202 {
            return Err(format!("job {id} was not accepted, without any disruption"));
        }
    }
    if has_trouble {
        for host in 0..plan.lost {
            fleet.kill(host);
            let _ = writeln!(lines, "{:6.2} s edge-{host} is killed for good", began.elapsed().as_secs_f64());
        }
        if let Some(routes) = plan.next_routes {
            configure(&store, 2, routes);
            let _ = writeln!(lines, "{:6.2} s version 2 is acknowledged, routes {routes:?}", began.elapsed().as_secs_f64());
        }
    }
    std::thread::sleep(FINISH);

    let runs = runs.lock().unwrap().clone();
    for run in &runs {
        let end = run.ended_at.map_or_else(|| "still runs".to_owned(), |at| format!("ended at {:.2} s", at.as_secs_f64()));
        let whole = if run.is_whole { ", whole" } else { "" };
        let _ = writeln!(
            lines,
            "{:6.2} s {} of {} runs item {} ({}): {end}{whole}",
            run.began_at.as_secs_f64(),
            run.engine,
            run.pool,
            run.item,
            run.path
        );
    }
    (plan.check)(&State { plan, fleet: &fleet, began, runs }, lines)
}
