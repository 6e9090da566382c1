//! Whole fleets of books and tables of other hosts, while links between them fail.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::{Instant, advance};

use super::{beat, team, tolerant};
use crate::beat::{HostBeat, KnownHost};
use crate::declarations::{CallerLimits, FleetDeclarations, TeamRule};
use crate::peers::{PeerPolicy, PeerTable};
use crate::quota::{QuotaBook, QuotaDecision};

const RATE: f64 = 20.5;
const BURST: f64 = 29.3;
const WINDOW: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(5);
/// Steps between two beats of a host that admitted nothing.
const QUIET_STEPS: usize = 20;

struct FleetHost {
    book: QuotaBook,
    peers: PeerTable,
    sequence: u64,
    has_admitted: bool,
}

fn known(index: usize) -> KnownHost {
    KnownHost {
        address: index.to_string().into(),
        incarnation: 1,
        caller_address: "".into(),
        zone: "z".into(),
    }
}

fn host(index: usize) -> FleetHost {
    let rule = TeamRule { name: team(), keys: vec![], rate: RATE, burst: BURST };
    let declarations =
        FleetDeclarations::new(1, CallerLimits::default(), vec![], vec![], vec![rule]);
    let mut book = QuotaBook::new(tolerant(), Instant::now());
    book.set_limits(&declarations, Instant::now());
    let policy = PeerPolicy { lost: Duration::from_millis(1_500) };
    let peers = PeerTable::new(known(index), policy);
    FleetHost { book, peers, sequence: 0, has_admitted: false }
}

impl FleetHost {
    fn make_beat(&mut self, index: usize) -> HostBeat {
        self.sequence += 1;
        // Hosts that hear one again after a silence ask it for a whole beat; here all are whole.
        let told = beat(&index.to_string(), &self.book, true);
        HostBeat { host: known(index), sequence: self.sequence, ..told }
    }

    fn hear(&mut self, told: &HostBeat) {
        let now = Instant::now();
        let was_heard =
            self.peers.get(&told.host.address).is_some_and(|host| self.peers.is_heard(host, now));
        if self.peers.hear(told.clone(), now) {
            self.book.hear(told, !was_heard, now);
        }
    }

    fn admit(&mut self) -> bool {
        let (heard, all) = self.peers.heard_of_all(Instant::now());
        self.book.set_share(heard, all);
        let is_admitted =
            self.book.admit(&team(), false, Instant::now()) == QuotaDecision::Admitted;
        self.has_admitted |= is_admitted;
        is_admitted
    }
}

/// Fills the bucket in ten quiet seconds, and then lets every host ask for the team in each step, and
/// beat to the hosts of its part. Returns the most that was admitted in a window.
async fn flood(hosts: &mut [FleetHost], part_of: impl Fn(usize, Duration) -> usize) -> usize {
    let begins = Instant::now() + Duration::from_secs(10);
    let (mut recent, mut most) = (VecDeque::new(), 0);
    for step in 0..4_400 {
        let passed = Instant::now().saturating_duration_since(begins);
        for host in hosts.iter_mut().filter(|_| Instant::now() >= begins) {
            if host.admit() {
                recent.push_back(passed);
            }
        }
        for index in 0..hosts.len() {
            let is_due = std::mem::take(&mut hosts[index].has_admitted)
                || (step + index).is_multiple_of(QUIET_STEPS);
            if !is_due {
                continue;
            }
            let told = hosts[index].make_beat(index);
            let part = part_of(index, passed);
            for (other, host) in hosts.iter_mut().enumerate() {
                if other != index && part_of(other, passed) == part {
                    host.hear(&told);
                }
            }
        }
        while recent.front().is_some_and(|at| *at + WINDOW <= passed) {
            recent.pop_front();
        }
        most = most.max(recent.len());
        advance(STEP).await;
    }
    most
}

fn fleet(size: usize) -> Vec<FleetHost> {
    let mut hosts: Vec<FleetHost> = (0..size).map(host).collect();
    for index in 0..size {
        let told = hosts[index].make_beat(index);
        for (other, host) in hosts.iter_mut().enumerate() {
            if other != index {
                host.hear(&told);
            }
        }
    }
    hosts
}

/// A team sends ten times its rate, and four of eleven hosts are cut off from the other seven. The
/// hosts of each part hear each other; where they charge each other's admissions less than their
/// own, the team gets 1.6 times its rate for as long as the cut lasts.
#[tokio::test(start_paused = true)]
async fn two_parts_of_several_hosts_stay_within_the_rate_together() {
    let mut hosts = fleet(11);
    let part_of = |host: usize, passed: Duration| {
        let is_cut = passed >= Duration::from_secs(2) && passed < Duration::from_secs(7);
        usize::from(is_cut && host < 4)
    };

    let most = flood(&mut hosts, part_of).await;

    let tolerated = (RATE * WINDOW.as_secs_f64() + BURST) * 1.1 + 20.0;
    assert!(most as f64 <= tolerated, "{most} of {tolerated}");
}

/// Every link between hosts fails at once while a team sends ten times its rate: eleven parts of one.
#[tokio::test(start_paused = true)]
async fn a_fleet_without_any_link_stays_within_what_is_tolerated() {
    let mut hosts = fleet(11);
    let part_of = |host: usize, passed: Duration| {
        if passed >= Duration::from_secs(2) { host + 1 } else { 0 }
    };

    let most = flood(&mut hosts, part_of).await;

    let tolerated = (RATE * WINDOW.as_secs_f64() + BURST) * 1.1 + 20.0;
    assert!(most as f64 <= tolerated, "{most} of {tolerated}");
}
