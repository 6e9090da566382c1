//! Prints the figures of the quarantine of prompt parts that crash targets.
//!
//! `cargo run --release -p cuminramp-replay --example prompt_parts -- [SEED] [HOSTS] [SECONDS] [SCENARIO] [RULE]`
//!
//! All fleets are replayed if the number of hosts is 0. Rows appear in the order in which they are done.

use std::env;
use std::thread;
use std::time::{Duration, Instant};

use cuminramp_replay::{PartPlan, PartRule, PartScenario, run_part_replay};

const FLEETS: [(usize, usize); 3] = [(11, 18), (300, 500), (985, 1_600)];
const SCENARIOS: [PartScenario; 8] = [
    PartScenario::Guilty(2),
    PartScenario::Guilty(20),
    PartScenario::Guilty(200),
    PartScenario::TwoGuilty(20),
    PartScenario::Waves,
    PartScenario::WavesAndGuilty(20),
    PartScenario::Silences,
    PartScenario::Started(20),
];

fn main() {
    let mut arguments = env::args().skip(1);
    let mut number = |default| arguments.next().and_then(|it| it.parse().ok()).unwrap_or(default);
    let (seed, hosts, seconds) = (number(1), number(0), number(40));
    let scenario = env::args().nth(4).unwrap_or_default();
    let rule = env::args().nth(5).unwrap_or_default();
    println!("seed {seed}; {seconds} s; datagrams and bytes are per host and second");
    println!(
        "{:>5} {:20} {:11} {:>8} {:>6} {:>6} {:>5} {:>6} {:>6} {:>6} {:>9} {:>10} {:>6} {:>5}",
        "hosts",
        "scenario",
        "rule",
        "requests",
        "ended",
        "after5",
        "late",
        "held",
        "share",
        "failed",
        "datagrams",
        "bytes",
        "peak",
        "s"
    );
    let fleets = FLEETS.into_iter().filter(|it| hosts == 0 || hosts == it.0 as u64);
    for (hosts, targets) in fleets {
        let plans = SCENARIOS.into_iter().flat_map(|scenario| {
            [PartRule::Counts, PartRule::Likelihood].map(|rule| PartPlan {
                length: Duration::from_secs(seconds),
                ..PartPlan::new(scenario, rule, hosts, targets, seed)
            })
        });
        let is_chosen = |plan: &PartPlan| {
            format!("{:?}", plan.scenario).starts_with(&scenario)
                && format!("{:?}", plan.rule).starts_with(&rule)
        };
        thread::scope(|scope| {
            for plan in plans.filter(is_chosen) {
                scope.spawn(move || print_row(&plan));
            }
        });
    }
}

fn print_row(plan: &PartPlan) {
    let started = Instant::now();
    let figures = run_part_replay(plan);
    println!(
        "{:>5} {:20} {:11} {:>8} {:>6} {:>6} {:>5} {:>6} {:>6.3} {:>6} {:>9.1} {:>10.0} {:>6} {:>5.1}",
        plan.hosts,
        format!("{:?}", plan.scenario),
        format!("{:?}", plan.rule),
        figures.requests,
        figures.ended,
        figures.ended_after_fifth,
        figures.late_sends,
        figures.sound_held,
        figures.sound_held_share,
        figures.sound_failed,
        figures.datagrams,
        figures.bytes,
        figures.peak_datagrams,
        started.elapsed().as_secs_f64()
    );
}
