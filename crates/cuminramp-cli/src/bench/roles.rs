//! `cuminramp bench roles`: measures the time and memory of each component (role) by itself, as a linear
//! function of its size.

use std::alloc::System;
use std::time::Duration;

use cuminramp_core::{Host, HostId, KeyDigest, Name, SeededRandom};
use cuminramp_membership::{MemberPolicy, MemberTable, SteeringPlanner};
use cuminramp_quota::{LedgerPolicy, QuotaLedger, ShardMove, TOKEN, TeamLimits};
use cuminramp_routes::{Charge, Configuration, KeyGrant, Team};
use cuminramp_targets::{ChoiceQuery, TargetPolicy, TargetSpec, TargetTable};
use cuminramp_wire::peer::{Probe, VersionDigest};
use cuminramp_wire::rows::{Change, ChangeSet, change::Entry};
use prost::Message;
use serde_json::{Value, json};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use tokio::time::Instant;

use crate::bench::record::{LineFit, record};
use crate::connection::CommandError;
use crate::flags::Roles;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Iterations of a timed operation; slow operations run a tenth or a hundredth of them.
const ITERATIONS: u32 = 2_000;
/// Number of availability zones of the generated hosts.
const ZONES: usize = 3;

/// Measurement at one size: mean microseconds per operation, and allocated bytes.
struct RolePoint {
    size: usize,
    micros: f64,
    bytes: f64,
}

/// Measures every role at several sizes.
pub(crate) fn execute(flags: &Roles) -> Result<(), CommandError> {
    let out = flags.out.as_deref();
    let teams = [10, 1_000, 10_000, 43_000];
    let hosts = [3, 6, 11, 33, 90, 180, 360];
    let shards = [128, 512, 1_024, 4_096];
    let targets = [20, 60, 150];
    record_role(out, "configuration-memory-and-apply", "teams", &teams.map(measure_configuration))?;
    record_role(out, "key-lookup", "teams", &teams.map(measure_key_lookup))?;
    record_role(out, "ledger-memory-and-admit", "teams", &teams.map(measure_ledger))?;
    record_role(out, "shard-map-digest", "shards", &shards.map(measure_shard_digest))?;
    record_role(out, "shard-claims", "hosts", &hosts.map(measure_claims))?;
    record_role(out, "member-table-and-tick", "hosts", &hosts.map(measure_members))?;
    record_role(out, "probe-message", "hosts", &hosts.map(measure_probe))?;
    record_role(out, "steering", "hosts", &hosts.map(measure_steering))?;
    record_role(out, "target-choice", "targets", &targets.map(measure_choice))
}

/// Fits lines to the points of a role and records them with the points.
fn record_role(
    out: Option<&std::path::Path>,
    role: &str,
    axis: &str,
    points: &[RolePoint],
) -> Result<(), CommandError> {
    let fit = |value: fn(&RolePoint) -> f64| {
        let pairs: Vec<(f64, f64)> =
            points.iter().map(|point| (point.size as f64, value(point))).collect();
        LineFit::least_squares(&pairs)
    };
    let (time, memory) = (fit(|point| point.micros), fit(|point| point.bytes));
    let measured: Vec<Value> = points
        .iter()
        .map(|point| json!({axis: point.size, "micros": point.micros, "bytes": point.bytes}))
        .collect();
    let result = json!({
        "bench": "roles", "role": role, "axis": axis, "points": measured,
        "micros-base": time.base, "micros-slope": time.slope,
        "bytes-base": memory.base, "bytes-slope": memory.slope,
    });
    record(out, &result)
}

/// Runs `make` and returns its result with the number of bytes that remain allocated.
fn measure_allocation<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(ALLOCATOR);
    let made = make();
    let change = region.change();
    let bytes = change.bytes_allocated as f64 - change.bytes_deallocated as f64
        + change.bytes_reallocated as f64;
    (made, bytes)
}

/// Returns the mean duration of `operation` in microseconds.
fn mean_micros(iterations: u32, mut operation: impl FnMut(u32)) -> f64 {
    let started = std::time::Instant::now();
    for index in 0..iterations {
        operation(index);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(iterations)
}

fn team_name(index: usize) -> Name {
    format!("team-{index:05}").into()
}

fn configuration(teams: usize) -> Configuration {
    let mut configuration = Configuration { generation: 1, ..Configuration::default() };
    let rows = (0..teams).map(|index| {
        let name = team_name(index);
        let row = Team {
            name: name.clone(),
            rate: 10.0,
            burst: 20.0,
            weight: 1,
            charge: Charge::Requests,
        };
        (name, row)
    });
    configuration.teams = rows.collect();
    let names: Vec<Name> = configuration.teams.keys().cloned().collect();
    let keys = names.into_iter().enumerate().map(|(index, team)| {
        (KeyDigest::of_key(&format!("sk-{index}")), KeyGrant { team, label: "main".into() })
    });
    configuration.keys = keys.collect();
    configuration
}

fn measure_configuration(teams: usize) -> RolePoint {
    let (configuration, bytes) = measure_allocation(|| configuration(teams));
    let team =
        Team { name: "new".into(), rate: 1.0, burst: 2.0, weight: 1, charge: Charge::Requests };
    let change = Change { entry: Some(Entry::Team((&team).into())) };
    let set = ChangeSet { generation: 2, writer: String::new(), changes: vec![change] };
    let micros =
        mean_micros(ITERATIONS / 100, |_| drop(std::hint::black_box(configuration.apply(&set))));
    RolePoint { size: teams, micros, bytes }
}

fn measure_key_lookup(teams: usize) -> RolePoint {
    let configuration = configuration(teams);
    let micros = mean_micros(ITERATIONS, |index| {
        let digest = KeyDigest::of_key(&format!("sk-{}", index as usize % teams));
        std::hint::black_box(configuration.find_key(&digest));
    });
    RolePoint { size: teams, micros, bytes: 0.0 }
}

fn host(index: usize) -> Host {
    Host {
        id: HostId {
            address: format!("10.0.{}.{}:8082", index / 250, index % 250).into(),
            incarnation: 1,
        },
        caller_address: format!("10.0.{}.{}:8080", index / 250, index % 250).into(),
        zone: format!("zone-{}", index % ZONES).into(),
    }
}

fn hosts(count: usize) -> Vec<Host> {
    (0..count).map(host).collect()
}

/// Creates a ledger that owns every shard.
fn ledger_owning_all_shards(policy: LedgerPolicy, now: Instant) -> QuotaLedger {
    let me = host(0).id;
    let shards = policy.shards;
    let mut ledger = QuotaLedger::new(me.clone(), policy, now);
    for shard in 0..shards {
        let row = ShardMove { shard, from_epoch: 0, owner: me.clone() }.to_row();
        ledger.shards_mut().apply_row(&row, now);
    }
    ledger
}

fn measure_ledger(teams: usize) -> RolePoint {
    let now = Instant::now();
    let limits = TeamLimits::from_tokens(10.0, 1_000_000.0);
    let names: Vec<Name> = (0..teams).map(team_name).collect();
    let mut ledger = ledger_owning_all_shards(LedgerPolicy::default(), now);
    let ((), bytes) = measure_allocation(|| {
        for name in &names {
            ledger.admit(name, limits, TOKEN, false, now);
        }
    });
    let micros = mean_micros(ITERATIONS, |index| {
        let name = &names[index as usize % teams];
        std::hint::black_box(ledger.admit(name, limits, TOKEN, false, now));
    });
    RolePoint { size: teams, micros, bytes }
}

fn measure_shard_digest(shards: usize) -> RolePoint {
    let policy = LedgerPolicy { shards: shards as u32, ..LedgerPolicy::default() };
    let (ledger, bytes) = measure_allocation(|| ledger_owning_all_shards(policy, Instant::now()));
    let micros = mean_micros(ITERATIONS / 10, |_| {
        std::hint::black_box(ledger.shards().digest_hash());
    });
    RolePoint { size: shards, micros, bytes }
}

fn measure_claims(count: usize) -> RolePoint {
    let hosts = hosts(count);
    let ledger = ledger_owning_all_shards(LedgerPolicy::default(), Instant::now());
    let micros = mean_micros(ITERATIONS / 100, |_| {
        std::hint::black_box(ledger.shards().plan_claims(&hosts, |_| true));
    });
    RolePoint { size: count, micros, bytes: 0.0 }
}

/// Creates a member table with `count` hosts in total.
fn member_table(count: usize, now: Instant) -> MemberTable {
    let mut table = MemberTable::new(host(0), MemberPolicy::default(), now);
    for other in hosts(count).into_iter().skip(1) {
        let state = MemberTable::new(other, MemberPolicy::default(), now).local_state();
        table.on_message(&state, now);
    }
    table
}

fn measure_members(count: usize) -> RolePoint {
    let now = Instant::now();
    let (mut table, bytes) = measure_allocation(|| member_table(count, now));
    let mut random = SeededRandom::new(1);
    let micros =
        mean_micros(ITERATIONS, |_| drop(std::hint::black_box(table.tick(&mut random, now))));
    RolePoint { size: count, micros, bytes }
}

/// Measures the size of a probe without pending updates, and the time to build and encode it.
fn measure_probe(count: usize) -> RolePoint {
    let now = Instant::now();
    let mut table = member_table(count, now);
    for _ in 0..ITERATIONS {
        table.take_updates(None);
    }
    let make = |table: &mut MemberTable| Probe {
        sender: Some(table.local_state()),
        updates: table.take_updates(Some("10.0.0.1:8082")),
        digest: Some(VersionDigest {
            generation: 5_100,
            withdrawal_hash: 1,
            shard_hash: u64::MAX,
            table_age_ms: 2_000,
        }),
        target: String::new(),
    };
    let bytes = make(&mut table).encoded_len() as f64;
    let micros =
        mean_micros(ITERATIONS, |_| drop(std::hint::black_box(make(&mut table).encode_to_vec())));
    RolePoint { size: count, micros, bytes }
}

fn measure_steering(count: usize) -> RolePoint {
    let hosts = hosts(count);
    let planner = SteeringPlanner { max_hosts: 3, ttl: Duration::from_secs(30) };
    let micros = mean_micros(ITERATIONS / 10, |index| {
        let team = team_name(index as usize);
        std::hint::black_box(planner.plan(&team, "zone-0", &hosts, &[]));
    });
    RolePoint { size: count, micros, bytes: 0.0 }
}

fn measure_choice(count: usize) -> RolePoint {
    let now = Instant::now();
    let specs: Vec<TargetSpec> = (0..count)
        .map(|index| TargetSpec {
            name: format!("engine-{index}").into(),
            slots: 64,
            is_leaving: false,
        })
        .collect();
    let (mut table, bytes) = measure_allocation(|| TargetTable::new(TargetPolicy::default()));
    let ((), target_bytes) = measure_allocation(|| table.set_targets(&specs, now));
    let mut random = SeededRandom::new(1);
    let micros = mean_micros(ITERATIONS, |index| {
        let query = ChoiceQuery { prefix: Some(index.into()), avoided: &[] };
        std::hint::black_box(table.choose(&specs, query, &mut random, now));
    });
    RolePoint { size: count, micros, bytes: bytes + target_bytes }
}
