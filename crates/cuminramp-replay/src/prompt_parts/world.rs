//! Emulated callers, hosts, targets and reports.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use cuminramp_core::{RandomSource, SeededRandom};
use cuminramp_fleet::{PartDecision, PartTable, PoolPart, PromptPart};
use tokio::time::Instant;

use super::likelihood::LikelihoodTable;
use super::plan::{PartFigures, PartPlan, PartRule, PartScenario};
use super::rule::PartDecider;

const ZONES: usize = 3;
const SLOTS: u32 = 8;
const FIRST_PARTS: usize = 20;
/// Share of the requests that have the most frequent first part.
const FREQUENT_SHARE: f64 = 0.45;
/// Number of other parts, of which a request has one.
const RARE_PARTS: usize = 100_000;
const ATTEMPTS: u32 = 2;

// Times in microseconds.
const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const ZONE_DELAY: u64 = MS;
const FAR_DELAY: u64 = 20 * MS;
/// One in this many datagrams is lost.
const LOSS: usize = 100;
const RUN_TIME: u64 = 700 * MS;
/// When the fourth of 30 events is received, with the first one after 25 ms: a host counts the response as sound.
const SOUND_DELAY: u64 = 95 * MS;
const CRASH_DELAY: u64 = 60 * MS;
const DOWN_TIME: u64 = 3 * SECOND;
/// Time in which a host sees that a target refuses connections.
const CHECK_DELAY: u64 = 2 * MS;
/// Time after which the caller of a failed request repeats it.
const REPEAT_REQUEST_DELAY: u64 = 5 * MS;
/// Time after which a host looks for a free slot again.
const SLOT_DELAY: u64 = 20 * MS;
/// Time for which a request waits for a free slot.
const MAX_SLOT_WAIT: u64 = 2 * SECOND;
/// When requests with guilty parts begin, unless all hosts have just started.
const GUILTY_AT: u64 = 2 * SECOND;
const WAVE_INTERVAL: u64 = 6 * SECOND;
/// Time in which the targets of a wave crash. It is longer than the window in which crashes count as one.
const WAVE_SPREAD: u64 = 100 * MS;
const SILENCE_TIME: u64 = 2 * SECOND;
const START_SPREAD: u64 = 300 * MS;
/// Time after the fifth crash for which sends aren't counted.
const GRACE: u64 = 3 * SECOND;

// The gateway's times of the exchange between hosts (crates/cuminramp-gateway/src/parts.rs).
const COLLECT_DELAY: u64 = 20 * MS;
const REPEAT_DELAY: u64 = 200 * MS;
const EXCHANGE_INTERVAL: u64 = SECOND;

#[derive(Debug)]
struct Request {
    first: usize,
    guilty: Option<usize>,
    parts: Vec<PoolPart>,
    attempts: u32,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    request: usize,
    host: usize,
    is_sound: bool,
}

#[derive(Clone, Copy, Debug)]
enum Receivers {
    /// The hosts of a zone, without the sender.
    Zone(usize),
    One(usize),
}

enum Event<R> {
    Arrive,
    Send { request: usize, host: usize, waits_since: u64 },
    Sound { target: usize, run: usize },
    End { target: usize, run: usize },
    Crash { target: usize, epoch: u32 },
    CrashSeen { host: usize, parts: Vec<PoolPart>, target: usize },
    Back { target: usize },
    Wave,
    HostStart(usize),
    Collected(usize),
    Repeated(usize),
    Exchange { host: usize, round: u32 },
    Deliver { from: usize, to: Receivers, reports: Rc<[R]> },
}

struct Host<D> {
    table: D,
    is_up: bool,
    /// Whether it collects or repeats changes.
    is_sending: bool,
    is_notified: bool,
    /// Number of waits for the next exchange; an earlier wait is void.
    round: u32,
    /// Datagrams sent in the current second.
    second: (u64, u32),
}

struct Target {
    is_up: bool,
    /// Number of ends.
    epoch: u32,
    runs: BTreeMap<usize, Run>,
}

#[derive(Clone, Copy, Default)]
struct Guilty {
    crashes: u32,
    fifth_at: Option<u64>,
    late_sends: u32,
}

struct World<D: PartDecider> {
    plan: PartPlan,
    start: Instant,
    now: u64,
    random: SeededRandom,
    events: BTreeMap<(u64, u64), Event<D::Report>>,
    sequence: u64,
    hosts: Vec<Host<D>>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    runs: usize,
    first_parts: Vec<PoolPart>,
    guilty_parts: Vec<PoolPart>,
    guilty: Vec<Guilty>,
    /// Sound requests by first part, and those of them that were held back.
    sound: Vec<(u32, u32)>,
    figures: PartFigures,
    sent: (u64, u64),
}

/// Replays a plan and returns its figures.
///
/// ```
/// use std::time::Duration;
/// use cuminramp_replay::{PartPlan, PartRule, PartScenario, run_part_replay};
/// let plan = PartPlan::new(PartScenario::Waves, PartRule::Counts, 3, 3, 1);
/// let plan = PartPlan { length: Duration::from_secs(2), ..plan };
/// assert_eq!(run_part_replay(&plan), run_part_replay(&plan));
/// ```
pub fn run_part_replay(plan: &PartPlan) -> PartFigures {
    match plan.rule {
        PartRule::Counts => World::<PartTable>::new(*plan).run(),
        PartRule::Likelihood => World::<LikelihoodTable>::new(*plan).run(),
    }
}

fn pool_part(id: &str) -> PoolPart {
    PromptPart::new(id).in_pool("pool")
}

impl<D: PartDecider> World<D> {
    fn new(plan: PartPlan) -> Self {
        let host = |index| Host {
            table: D::new(index as u32),
            is_up: false,
            is_sending: false,
            is_notified: false,
            round: 0,
            second: (0, 0),
        };
        let target = |_| Target { is_up: true, epoch: 0, runs: BTreeMap::new() };
        let guilty = plan.scenario.guilty();
        World {
            plan,
            start: Instant::now(),
            now: 0,
            random: SeededRandom::new(plan.seed),
            events: BTreeMap::new(),
            sequence: 0,
            hosts: (0..plan.hosts).map(host).collect(),
            targets: (0..plan.targets).map(target).collect(),
            requests: vec![],
            runs: 0,
            first_parts: (0..FIRST_PARTS).map(|part| pool_part(&format!("first-{part}"))).collect(),
            guilty_parts: (0..guilty).map(|part| pool_part(&format!("guilty-{part}"))).collect(),
            guilty: vec![Guilty::default(); guilty],
            sound: vec![(0, 0); FIRST_PARTS],
            figures: PartFigures::default(),
            sent: (0, 0),
        }
    }

    fn run(mut self) -> PartFigures {
        let spread = if self.starts_now() { START_SPREAD } else { 0 };
        for host in 0..self.plan.hosts {
            let delay = self.delay_below(spread);
            self.after(delay, Event::HostStart(host));
        }
        self.after(0, Event::Arrive);
        self.after(WAVE_INTERVAL, Event::Wave);
        let length = self.plan.length.as_micros() as u64;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= length {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.finish()
    }

    fn finish(self) -> PartFigures {
        let seconds = self.plan.hosts as f64 * self.plan.length.as_secs_f64();
        let share = |(all, held): &(u32, u32)| f64::from(*held) / f64::from((*all).max(1));
        let after_fifth = |guilty: &Guilty| guilty.crashes.saturating_sub(5);
        PartFigures {
            requests: self.requests.len() as u32,
            ended_after_fifth: self.guilty.iter().map(after_fifth).max().unwrap_or(0),
            late_sends: self.guilty.iter().map(|guilty| guilty.late_sends).max().unwrap_or(0),
            sound_held: self.sound.iter().map(|(_, held)| held).sum(),
            sound_held_share: self.sound.iter().map(share).fold(0.0, f64::max),
            datagrams: self.sent.0 as f64 / seconds,
            bytes: self.sent.1 as f64 / seconds,
            ..self.figures
        }
    }

    fn starts_now(&self) -> bool {
        matches!(self.plan.scenario, PartScenario::Started(_))
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_micros(self.now)
    }

    fn after(&mut self, delay: u64, event: Event<D::Report>) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn delay_below(&mut self, bound: u64) -> u64 {
        self.random.below(bound as usize) as u64
    }

    fn handle(&mut self, event: Event<D::Report>) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Send { request, host, waits_since } => self.send(request, host, waits_since),
            Event::Sound { target, run } => self.record_sound(target, run),
            Event::End { target, run } => {
                self.targets[target].runs.remove(&run);
            }
            Event::Crash { target, epoch } => self.crash(target, epoch),
            Event::CrashSeen { host, parts, target } => {
                let now = self.instant();
                self.hosts[host].table.record_crash(&parts, target as u32, now);
                self.notify(host);
            }
            Event::Back { target } => self.targets[target].is_up = true,
            Event::Wave => self.begin_wave(),
            Event::HostStart(host) => self.start_host(host),
            Event::Collected(host) => {
                self.report_to_all(host);
                self.after(REPEAT_DELAY, Event::Repeated(host));
            }
            Event::Repeated(host) => {
                self.report_to_all(host);
                self.hosts[host].is_sending = false;
                self.wait_for_changes(host);
            }
            Event::Exchange { host, round } => self.exchange(host, round),
            Event::Deliver { from, to, reports } => self.deliver(from, to, &reports),
        }
    }

    fn arrive(&mut self) {
        let rate = self.plan.load * self.plan.targets as f64 * f64::from(SLOTS) * SECOND as f64
            / RUN_TIME as f64;
        let gap = -(1.0 - self.random.unit_interval()).ln() / rate * SECOND as f64;
        self.after(gap as u64, Event::Arrive);
        let first = match self.random.unit_interval() < FREQUENT_SHARE {
            true => 0,
            false => 1 + self.random.below(FIRST_PARTS - 1),
        };
        let mut parts = vec![self.first_parts[first]];
        let has_begun = self.starts_now() || self.now >= GUILTY_AT;
        let drawn = self.random.below(self.plan.scenario.one_in() as usize);
        let guilty = Some(drawn).filter(|part| has_begun && *part < self.guilty.len());
        parts.extend(guilty.map(|part| self.guilty_parts[part]));
        // A rare part follows the guilty one in every second request.
        if guilty.is_none() || self.random.below(2) == 0 {
            parts.push(pool_part(&format!("rare-{}", self.random.below(RARE_PARTS))));
        }
        self.sound[first].0 += u32::from(guilty.is_none());
        self.requests.push(Request { first, guilty, parts, attempts: 0 });
        let host = self.random.below(self.hosts.len());
        self.send(self.requests.len() - 1, host, self.now);
    }

    /// Sends a request from a host to a target, once there is a free slot.
    fn send(&mut self, request: usize, host: usize, waits_since: u64) {
        let parts = self.requests[request].parts.clone();
        let now = self.instant();
        if !self.hosts[host].is_up {
            return self.after(SLOT_DELAY, Event::Send { request, host, waits_since });
        }
        let is_trial_host = self.is_trial_host(host, &parts);
        let decision = self.hosts[host].table.decide(&parts, now, is_trial_host);
        if matches!(decision, PartDecision::Hold(_)) {
            return self.hold(request);
        }
        let Some(target) = self.free_target(host) else {
            if self.now - waits_since < MAX_SLOT_WAIT {
                self.after(SLOT_DELAY, Event::Send { request, host, waits_since });
            }
            return;
        };
        if let PartDecision::Trial(part) = decision {
            self.hosts[host].table.begin_trial(part, now);
            self.notify(host);
        }
        self.runs += 1;
        let run = self.runs;
        self.requests[request].attempts += 1;
        self.targets[target].runs.insert(run, Run { request, host, is_sound: false });
        match self.requests[request].guilty {
            Some(part) => {
                let guilty = &mut self.guilty[part];
                let is_late = guilty.fifth_at.is_some_and(|at| self.now > at + GRACE);
                guilty.late_sends += u32::from(is_late);
                let epoch = self.targets[target].epoch;
                self.after(CRASH_DELAY, Event::Crash { target, epoch });
            }
            None => {
                self.after(SOUND_DELAY, Event::Sound { target, run });
                self.after(RUN_TIME, Event::End { target, run });
            }
        }
    }

    /// Returns whether a host is the one of all that tries the quarantined part of a request.
    fn is_trial_host(&self, host: usize, parts: &[PoolPart]) -> bool {
        let hosts = self.hosts.len() as u64;
        parts.iter().any(|part| {
            let decision = self.hosts[host].table.decide(&[*part], self.instant(), false);
            matches!(decision, PartDecision::Hold(_)) && part.key() % hosts == host as u64
        })
    }

    /// Counts a request that is refused since one of its parts is quarantined.
    fn hold(&mut self, request: usize) {
        let Request { first, guilty, .. } = self.requests[request];
        self.sound[first].1 += u32::from(guilty.is_none());
    }

    /// Returns a target with a free slot, if possible of the host's zone.
    fn free_target(&mut self, host: usize) -> Option<usize> {
        let is_free = |target: &Target| target.is_up && target.runs.len() < SLOTS as usize;
        for attempt in 0..24 {
            let target = self.random.below(self.targets.len());
            let is_near = target % ZONES == host % ZONES || attempt >= 12;
            if is_near && is_free(&self.targets[target]) {
                return Some(target);
            }
        }
        self.targets.iter().position(is_free)
    }

    fn record_sound(&mut self, target: usize, run: usize) {
        let Some(found) = self.targets[target].runs.get_mut(&run) else { return };
        found.is_sound = true;
        let Run { request, host, .. } = *found;
        let now = self.instant();
        if self.hosts[host].table.record_sound(&self.requests[request].parts, now) {
            self.notify(host);
        }
    }

    /// Ends a target under the guilty part of a request, or without one in a wave.
    fn crash(&mut self, target: usize, epoch: u32) {
        if self.targets[target].epoch != epoch || !self.targets[target].is_up {
            return;
        }
        let runs = self.end_runs(target, DOWN_TIME);
        self.figures.ended += 1;
        for part in 0..self.guilty.len() {
            if runs.iter().any(|run| self.requests[run.request].guilty == Some(part)) {
                let guilty = &mut self.guilty[part];
                guilty.crashes += 1;
                if guilty.crashes == 5 {
                    guilty.fifth_at = Some(self.now);
                }
            }
        }
        for run in runs {
            if !run.is_sound {
                let parts = self.requests[run.request].parts.clone();
                self.after(CHECK_DELAY, Event::CrashSeen { host: run.host, parts, target });
            }
            self.repeat(run);
        }
    }

    fn end_runs(&mut self, target: usize, down_time: u64) -> Vec<Run> {
        self.after(down_time, Event::Back { target });
        let target = &mut self.targets[target];
        target.is_up = false;
        target.epoch += 1;
        std::mem::take(&mut target.runs).into_values().collect()
    }

    /// Lets the caller of a failed request repeat it through another host.
    fn repeat(&mut self, run: Run) {
        let Request { attempts, guilty, .. } = self.requests[run.request];
        if attempts >= ATTEMPTS {
            self.figures.sound_failed += u32::from(guilty.is_none());
            return;
        }
        let others = self.hosts.len() - 1;
        let host = (run.host + 1 + self.random.below(others)) % self.hosts.len();
        let send = Event::Send { request: run.request, host, waits_since: self.now };
        self.after(REPEAT_REQUEST_DELAY, send);
    }

    fn begin_wave(&mut self) {
        self.after(WAVE_INTERVAL, Event::Wave);
        let has_crashes = match self.plan.scenario {
            PartScenario::Waves | PartScenario::WavesAndGuilty(_) => true,
            PartScenario::Silences => false,
            _ => return,
        };
        for target in 0..self.targets.len() {
            if self.random.unit_interval() >= 0.3 || !self.targets[target].is_up {
                continue;
            }
            if has_crashes {
                let epoch = self.targets[target].epoch;
                let delay = self.delay_below(WAVE_SPREAD);
                self.after(delay, Event::Crash { target, epoch });
            } else {
                // Hosts count crashes only of targets that refuse connections.
                let runs = self.end_runs(target, SILENCE_TIME);
                runs.into_iter().for_each(|run| self.repeat(run));
            }
        }
    }

    /// Starts a host; the others report what they know when they hear it.
    fn start_host(&mut self, host: usize) {
        self.hosts[host].is_up = true;
        self.wait_for_changes(host);
        for other in 0..self.hosts.len() {
            if other != host && self.hosts[other].is_up {
                self.report(other, &[Receivers::One(host)]);
            }
        }
    }

    fn notify(&mut self, host: usize) {
        self.hosts[host].is_notified = true;
        if !self.hosts[host].is_sending {
            self.wait_for_changes(host);
        }
    }

    /// Begins to send changes, or waits for them or for the next exchange.
    fn wait_for_changes(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        state.round += 1;
        if std::mem::take(&mut state.is_notified) {
            state.is_sending = true;
            self.after(COLLECT_DELAY, Event::Collected(host));
        } else {
            let round = state.round;
            self.after(EXCHANGE_INTERVAL, Event::Exchange { host, round });
        }
    }

    fn exchange(&mut self, host: usize, round: u32) {
        if self.hosts[host].round != round || self.hosts[host].is_sending {
            return;
        }
        let near = self.random_host(host, true);
        let far = self.random_host(host, false);
        let receivers: Vec<Receivers> = near.into_iter().chain(far).map(Receivers::One).collect();
        self.report(host, &receivers);
        self.wait_for_changes(host);
    }

    fn random_host(&mut self, host: usize, is_near: bool) -> Option<usize> {
        let is_candidate =
            |other: &usize| *other != host && (other % ZONES == host % ZONES) == is_near;
        let candidates: Vec<usize> = (0..self.hosts.len()).filter(is_candidate).collect();
        candidates.get(self.random.below(candidates.len())).copied()
    }

    fn report_to_all(&mut self, host: usize) {
        let zones: Vec<Receivers> = (0..ZONES).map(Receivers::Zone).collect();
        self.report(host, &zones);
    }

    fn report(&mut self, from: usize, receivers: &[Receivers]) {
        let reports: Rc<[D::Report]> = self.hosts[from].table.reports(self.instant()).into();
        if reports.is_empty() {
            return;
        }
        let size = D::size(&reports) as u64;
        for to in receivers {
            let (zone, count) = match to {
                Receivers::Zone(zone) => (*zone, self.hosts_of(*zone, from).count()),
                Receivers::One(host) => (host % ZONES, 1),
            };
            self.sent.0 += count as u64;
            self.sent.1 += count as u64 * size;
            let (now, sent) = (self.now / SECOND, &mut self.hosts[from].second);
            *sent = (now, if sent.0 == now { sent.1 } else { 0 } + count as u32);
            self.figures.peak_datagrams = self.figures.peak_datagrams.max(sent.1);
            let delay = if zone == from % ZONES { ZONE_DELAY } else { FAR_DELAY };
            self.after(delay, Event::Deliver { from, to: *to, reports: reports.clone() });
        }
    }

    fn hosts_of(&self, zone: usize, except: usize) -> impl Iterator<Item = usize> + use<D> {
        (zone..self.hosts.len()).step_by(ZONES).filter(move |host| *host != except)
    }

    /// Returns whether no datagrams pass between zones: two seconds after each wave.
    fn is_cut(&self) -> bool {
        let wave_age = self.now % WAVE_INTERVAL;
        self.plan.scenario == PartScenario::Silences && (2 * SECOND..4 * SECOND).contains(&wave_age)
    }

    fn deliver(&mut self, from: usize, to: Receivers, reports: &[D::Report]) {
        let now = self.instant();
        let (zone, receivers): (usize, Vec<usize>) = match to {
            Receivers::Zone(zone) => (zone, self.hosts_of(zone, from).collect()),
            Receivers::One(host) => (host % ZONES, vec![host]),
        };
        if zone != from % ZONES && self.is_cut() {
            return;
        }
        for host in receivers {
            if self.random.below(LOSS) == 0 || !self.hosts[host].is_up {
                continue;
            }
            let mut is_refuted = false;
            for report in reports {
                is_refuted |= self.hosts[host].table.merge(report, now);
            }
            if is_refuted {
                self.notify(host);
            }
        }
    }
}
