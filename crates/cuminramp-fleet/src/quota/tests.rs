//! Books alone; `division` has whole fleets.

mod division;

use std::time::Duration;

use cuminramp_core::Name;
use tokio::time::{Instant, advance};

use super::{QuotaDecision, QuotaTable, QuotaTolerance};
use crate::declarations::{CallerLimits, FleetDeclarations, TeamRule};
use crate::fixtures::{host_heartbeat, known_host};
use crate::heartbeat::HostHeartbeat;

const RATE: f64 = 10.0;
const BURST: f64 = 20.0;
const WINDOW: u64 = 5;

fn declarations() -> FleetDeclarations {
    let team =
        TeamRule { name: "parish".into(), keys: vec![], rate: RATE, burst: BURST, homes: vec![] };
    FleetDeclarations::new(1, CallerLimits::default(), vec![], vec![], vec![team])
}

fn team() -> Name {
    "parish".into()
}

fn tolerant() -> QuotaTolerance {
    QuotaTolerance { share: 0.1, requests: 20.0, window: Duration::from_secs(WINDOW) }
}

fn table_with(tolerance: QuotaTolerance) -> QuotaTable {
    let mut table = QuotaTable::new(tolerance, Instant::now());
    table.set_limits(&declarations(), Instant::now());
    table
}

fn table() -> QuotaTable {
    table_with(QuotaTolerance::default())
}

/// What the host called `address` tells of a book.
fn heartbeat(address: &str, table: &QuotaTable, is_whole: bool) -> HostHeartbeat {
    let now = Instant::now();
    HostHeartbeat {
        usage: table.usage(is_whole, now),
        is_usage_full: is_whole,
        is_settled: table.is_settled(now),
        ..host_heartbeat(known_host(address, 1, "z"), 1)
    }
}

fn admitted_at_once(table: &mut QuotaTable) -> u32 {
    let mut count = 0;
    while table.admit(&team(), false, Instant::now()) == QuotaDecision::Admitted {
        count += 1;
    }
    count
}

/// A fleet whose hosts hear each other's heartbeats at once.
struct Fleet {
    tables: Vec<QuotaTable>,
}

impl Fleet {
    fn new(hosts: usize, tolerance: QuotaTolerance) -> Self {
        let tables = (0..hosts).map(|_| table_with(tolerance)).collect();
        let mut fleet = Fleet { tables };
        for host in 0..hosts {
            fleet.tell(host, true);
        }
        fleet
    }

    fn tell(&mut self, host: usize, is_whole: bool) {
        let heartbeat = heartbeat(&host.to_string(), &self.tables[host], is_whole);
        for (index, other) in self.tables.iter_mut().enumerate() {
            if index != host {
                other.receive_heartbeat(&heartbeat, false, Instant::now());
            }
        }
    }

    fn restart(&mut self, host: usize, tolerance: QuotaTolerance) {
        self.tables[host] = table_with(tolerance);
        for other in 0..self.tables.len() {
            if other != host {
                let heartbeat = heartbeat(&other.to_string(), &self.tables[other], true);
                self.tables[host].receive_heartbeat(&heartbeat, false, Instant::now());
            }
        }
    }

    /// A request every 10 ms through one host after another.
    async fn flood(&mut self, step: usize) -> u32 {
        let host = step % self.tables.len();
        let decision = self.tables[host].admit(&team(), false, Instant::now());
        self.tell(host, false);
        advance(Duration::from_millis(10)).await;
        u32::from(decision == QuotaDecision::Admitted)
    }
}

/// A process is killed and starts again. With a full bucket the team could spend its burst once
/// more with each restart.
#[tokio::test(start_paused = true)]
async fn a_new_process_starts_with_an_empty_bucket_where_nothing_is_tolerated() {
    let mut table = table();

    assert_eq!(admitted_at_once(&mut table), 0);
    advance(Duration::from_secs(1)).await;
    assert_eq!(admitted_at_once(&mut table), 10);
}

#[tokio::test(start_paused = true)]
async fn what_others_admit_is_taken_out_here() {
    let mut first = table();
    let mut second = table();
    advance(Duration::from_secs(10)).await;
    second.receive_heartbeat(&heartbeat("first", &first, true), false, Instant::now());

    let spent = admitted_at_once(&mut first);
    second.receive_heartbeat(&heartbeat("first", &first, false), false, Instant::now());

    assert_eq!(spent, 20);
    assert_eq!(admitted_at_once(&mut second), 0);
}

/// Two of four hosts lose sight of the other two, and the team's callers reach both parts. If both
/// went on with the whole rate, the team would get twice what it pays for.
#[tokio::test(start_paused = true)]
async fn the_parts_of_a_divided_fleet_stay_within_the_rate_together() {
    let mut parts = [table(), table()];
    advance(Duration::from_secs(10)).await;
    for part in &mut parts {
        part.set_alive_share(2, 4);
    }

    let mut total = 0;
    for _ in 0..50 {
        total += parts.iter_mut().map(admitted_at_once).sum::<u32>();
        advance(Duration::from_millis(100)).await;
    }

    assert!(f64::from(total) <= BURST + RATE * WINDOW as f64, "{total}");
    assert!(f64::from(total) >= RATE * 4.0, "{total}");
}

/// After a division each part hears what the other spent. It came out of the other's part; owed here
/// in full as well, callers within the rate would be refused for seconds. Not owed at all, the team
/// would get what it spent there a second time. What is left is what was left to this part.
#[tokio::test(start_paused = true)]
async fn what_was_spent_in_a_division_is_owed_once_after_it() {
    let (mut here, mut there) = (table(), table());
    here.receive_heartbeat(&heartbeat("there", &there, true), false, Instant::now());
    advance(Duration::from_secs(10)).await;
    here.set_alive_share(1, 2);
    there.set_alive_share(1, 2);
    let spent_there = admitted_at_once(&mut there);

    here.set_alive_share(2, 2);
    here.receive_heartbeat(&heartbeat("there", &there, true), true, Instant::now());
    let left_here = admitted_at_once(&mut here);

    assert_eq!((spent_there, left_here), (10, 10));
}

/// Hosts on a busy machine fall silent for a moment, and the whole heartbeat that one asks the other for
/// afterwards comes late. Admissions told meanwhile would not be counted, and each host would spend
/// the whole rate until it comes.
#[tokio::test(start_paused = true)]
async fn admissions_told_after_a_silence_count_before_a_whole_heartbeat_comes() {
    let (mut here, mut there) = (table(), table());
    here.receive_heartbeat(&heartbeat("there", &there, true), false, Instant::now());
    advance(Duration::from_secs(10)).await;
    let spent_there = admitted_at_once(&mut there);

    here.receive_heartbeat(&heartbeat("there", &there, false), true, Instant::now());
    let left_here = admitted_at_once(&mut here);
    here.receive_heartbeat(&heartbeat("there", &there, true), false, Instant::now());
    advance(Duration::from_secs(1)).await;
    let next_second = admitted_at_once(&mut here);

    assert_eq!((spent_there, left_here, next_second), (20, 0, 10));
}

/// A team sends many times its rate through all hosts at once, and each learns of the others'
/// admissions only with the next heartbeat. The callers of other teams would feel the excess.
#[tokio::test(start_paused = true)]
async fn a_flood_through_all_hosts_exceeds_the_rate_by_less_than_a_heartbeat_brings() {
    let mut fleet = Fleet::new(11, QuotaTolerance::default());
    advance(Duration::from_secs(10)).await;

    let mut total = 0;
    for step in 0..500 {
        total += fleet.flood(step).await;
    }

    assert!(f64::from(total) <= BURST + RATE * WINDOW as f64 + 1.0, "{total}");
}

/// All hosts are killed at once and start again while a team's callers press. Beginning with
/// nothing, they would refuse callers who are within the rate; beginning with too much, twice in a
/// row, they would let a team have more than is tolerated.
#[tokio::test(start_paused = true)]
async fn a_fleet_that_was_killed_twice_stays_within_what_is_tolerated() {
    let mut fleet = Fleet::new(11, tolerant());
    advance(Duration::from_secs(10)).await;

    let mut total = 0;
    let mut after_restart = 0;
    for step in 0..500 {
        if step == 100 || step == 250 {
            fleet = Fleet::new(11, tolerant());
        }
        let admitted = fleet.flood(step).await;
        total += admitted;
        after_restart += if (100..110).contains(&step) { admitted } else { 0 };
    }

    let most = (BURST + RATE * WINDOW as f64) * 1.1 + 20.0;
    assert!(f64::from(total) <= most, "{total}");
    assert!(after_restart >= 5, "{after_restart}");
}

/// Hosts are restarted one after another while a team sends many times its rate. What each begins
/// with must not add up.
#[tokio::test(start_paused = true)]
async fn restarts_one_after_another_add_nothing_that_is_not_tolerated() {
    let mut fleet = Fleet::new(11, tolerant());
    advance(Duration::from_secs(10)).await;

    let mut total = 0;
    for step in 0..500 {
        if step % 60 == 30 {
            fleet.restart(step / 60, tolerant());
        }
        total += fleet.flood(step).await;
    }

    assert!(f64::from(total) <= BURST + RATE * WINDOW as f64 + 5.0, "{total}");
}

/// Many callers are refused in one moment. Told the same time to come back, they would meet again,
/// and most would be refused a second time.
#[tokio::test(start_paused = true)]
async fn refused_requests_are_spread_over_the_time_that_the_rate_needs() {
    let mut table = table();

    let waits: Vec<Duration> = (0..3).map(|_| table.retry_after(&team(), Instant::now())).collect();

    assert_eq!(waits, [100, 200, 300].map(Duration::from_millis));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_comes_back_goes_before_newcomers() {
    let mut table = table();
    advance(Duration::from_millis(95)).await;

    let newcomer = table.admit(&team(), false, Instant::now());
    let again = table.admit(&team(), true, Instant::now());

    assert_eq!(newcomer, QuotaDecision::Exceeded(Duration::from_millis(5)));
    assert_eq!(again, QuotaDecision::Admitted);
}
