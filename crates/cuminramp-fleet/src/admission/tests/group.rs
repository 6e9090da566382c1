//! Emulated group of targets, with callers that send requests to its owner. Time is simulated.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use cuminramp_core::{HostId, RandomSource, SeededRandom};
use tokio::time::Instant;

use super::{first_attempt, millis};
use crate::admission::{AdmissionQueue, AdmissionRequest, GroupCapacity, QueueDecision};

const MEAN_HOLD: Duration = Duration::from_millis(700);
/// Time for which an attempt may wait and still meet its objective.
const MAX_WAIT: Duration = Duration::from_millis(180);
const DEADLINE: Duration = Duration::from_secs(5);
pub(super) const STEP: Duration = Duration::from_millis(2);
/// Number of teams that may flood the group, the largest ones.
pub(super) const FLOODERS: usize = 3;

/// Load of a group: troughs of 3 s at 0.378 times the mean rate and peaks of 2.2 s at 1.85 times. The rates
/// of the teams follow a Zipf distribution, and their weights are their usual rates.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupLoad {
    pub(super) hosts: usize,
    pub(super) slots: u32,
    /// Requests per second without the flood, on average over peaks and troughs.
    pub(super) rate: f64,
    pub(super) teams: usize,
    /// Load of the largest teams, relative to their usual one.
    pub(super) flood: f64,
    pub(super) periods: u32,
    pub(super) seed: u64,
}

impl GroupLoad {
    /// Returns the slots, with the ceiling of requests per second.
    pub(super) fn capacity(&self) -> GroupCapacity {
        let freed_per_s = f64::from(self.slots) / MEAN_HOLD.as_secs_f64();
        GroupCapacity { slots: self.slots, freed_per_s }
    }

    fn usual_rate(&self, team: usize) -> f64 {
        let harmonic: f64 = (1..=self.teams).map(|rank| 1.0 / rank as f64).sum();
        self.rate / (team + 1) as f64 / harmonic
    }
}

/// How the group assigns its slots.
pub(super) enum SlotOrder {
    /// The admission queue.
    Fair(Box<AdmissionQueue>),
    /// A queue in order of arrival, as at targets: first attempts that would wait too long are told to retry
    /// after a random time, second attempts wait for any length of time.
    Arrival(VecDeque<usize>),
}

impl SlotOrder {
    pub(super) fn fair() -> Self {
        SlotOrder::Fair(Box::default())
    }

    pub(super) fn arrival() -> Self {
        SlotOrder::Arrival(VecDeque::new())
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    SlotEnd,
    Return { attempt: usize },
    Repeat { attempt: usize },
}

/// One attempt of a caller.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) team: usize,
    pub(super) is_retry: bool,
    pub(super) deadline: Instant,
    /// Time at which it got a slot or was rejected.
    pub(super) ended_at: Option<Instant>,
    started: bool,
    latest_start: Instant,
}

/// A run of a load, with its attempts.
pub(super) struct GroupRun {
    load: GroupLoad,
    order: SlotOrder,
    pub(super) attempts: Vec<Attempt>,
    free: u32,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    random: SeededRandom,
    now: Instant,
    /// Number of times that a slot stayed free while a request waited.
    pub(super) idle_slots: usize,
    pub(super) max_waiting: usize,
}

impl GroupRun {
    /// Runs a load, and then until no request waits and none will return.
    pub(super) fn new(load: GroupLoad, order: SlotOrder) -> Self {
        let start = Instant::now();
        let mut run = GroupRun {
            load,
            order,
            attempts: Vec::new(),
            free: load.slots,
            events: BinaryHeap::new(),
            random: SeededRandom::new(load.seed + 1),
            now: start,
            idle_slots: 0,
            max_waiting: 0,
        };
        // A source of their own makes the callers the same for both orders.
        let mut callers = SeededRandom::new(load.seed);
        let flood = |team: usize| if team < FLOODERS { load.flood } else { 1.0 };
        let rates = (0..load.teams).map(|team| load.usual_rate(team) * flood(team));
        let sums = rates.scan(0.0, |sum, rate| {
            *sum += rate;
            Some(*sum)
        });
        let sums: Vec<f64> = sums.collect();
        let total = sums.last().copied().unwrap_or_default();
        let mut arrival = start;
        let end = start + load.periods * millis(5_200);
        while run.now < end || !run.events.is_empty() || run.waiting() > 0 {
            while arrival <= run.now && arrival < end {
                let draw = callers.unit_interval() * total;
                run.arrive(sums.partition_point(|sum| *sum <= draw), None);
                let is_peak = (arrival - start).as_secs_f64() % 5.2 >= 3.0;
                let rate = total * if is_peak { 1.85 } else { 0.378 };
                let gap = -(1.0 - callers.unit_interval()).ln() / rate;
                arrival += Duration::from_secs_f64(gap);
            }
            run.step();
        }
        run
    }

    fn waiting(&self) -> usize {
        match &self.order {
            SlotOrder::Fair(queue) => queue.len(),
            SlotOrder::Arrival(queue) => queue.len(),
        }
    }

    fn step(&mut self) {
        while self.events.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
            let Some(Reverse((_, event))) = self.events.pop() else { break };
            match event {
                Event::SlotEnd => {
                    self.free += 1;
                    self.grant();
                }
                Event::Return { attempt } => {
                    let first = self.attempts[attempt];
                    self.arrive(first.team, Some(first.deadline));
                }
                Event::Repeat { attempt } if self.attempts[attempt].ended_at.is_none() => {
                    self.submit(attempt);
                }
                Event::Repeat { .. } => {}
            }
        }
        if let SlotOrder::Fair(queue) = &mut self.order {
            for rejected in queue.expire(self.now) {
                let attempt = rejected.waiting.request.request_id as usize;
                self.reject_by_queue(attempt, rejected.retry_after);
            }
        }
        self.max_waiting = self.max_waiting.max(self.waiting());
        self.idle_slots += self.waiting().min(self.free as usize);
        self.now += STEP;
    }

    /// Sends a first attempt, or a second one with the deadline of the first.
    fn arrive(&mut self, team: usize, deadline: Option<Instant>) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            team,
            is_retry: deadline.is_some(),
            deadline: deadline.unwrap_or(self.now + DEADLINE),
            ended_at: None,
            started: false,
            latest_start: self.now + MAX_WAIT,
        });
        if self.free == 0 || self.waiting() > 0 {
            return self.submit(attempt);
        }
        let request = self.request(attempt);
        if let SlotOrder::Fair(queue) = &mut self.order {
            queue.record_grant(request.team, request.weight_milli, self.now);
        }
        self.start(attempt);
    }

    fn request(&self, attempt: usize) -> AdmissionRequest {
        let Attempt { team, is_retry, latest_start, deadline, .. } = self.attempts[attempt];
        let remaining = |until: Instant| (until - self.now).as_millis() as u32;
        AdmissionRequest {
            weight_milli: (self.load.usual_rate(team) * 1e3) as u32,
            is_retry,
            max_wait_ms: remaining(latest_start),
            deadline_ms: remaining(deadline),
            ..first_attempt(attempt as u64, team as u32 + 1)
        }
    }

    fn submit(&mut self, attempt: usize) {
        let request = self.request(attempt);
        let capacity = self.load.capacity();
        match &mut self.order {
            SlotOrder::Fair(queue) => {
                let address = (attempt % self.load.hosts).to_string();
                let host = HostId { address: address.into(), incarnation: 1 };
                match queue.submit(&host, &request, capacity, &mut self.random, self.now) {
                    QueueDecision::Waiting { .. } => {
                        let event = Event::Repeat { attempt };
                        self.events.push(Reverse((self.now + millis(100), event)));
                    }
                    QueueDecision::Rejected { retry_after, .. } => {
                        self.reject_by_queue(attempt, retry_after);
                    }
                }
            }
            SlotOrder::Arrival(queue) => {
                let wait = (queue.len() + 1) as f64 / capacity.freed_per_s;
                if request.is_retry || wait <= MAX_WAIT.as_secs_f64() {
                    queue.push_back(attempt);
                } else {
                    let delay = 0.25 + 1.35 * self.random.unit_interval();
                    self.reject(attempt, Duration::from_secs_f64(delay));
                }
            }
        }
    }

    /// Rejects an attempt as its host does, which shortens the delay to a third of the time left.
    fn reject_by_queue(&mut self, attempt: usize, retry_after: Duration) {
        let left = self.attempts[attempt].deadline.saturating_duration_since(self.now);
        self.reject(attempt, retry_after.min(left / 3));
    }

    fn reject(&mut self, attempt: usize, retry_after: Duration) {
        self.attempts[attempt].ended_at = Some(self.now);
        if !self.attempts[attempt].is_retry {
            self.events.push(Reverse((self.now + retry_after, Event::Return { attempt })));
        }
    }

    fn start(&mut self, attempt: usize) {
        self.attempts[attempt].ended_at = Some(self.now);
        self.attempts[attempt].started = true;
        self.free -= 1;
        let hold = MEAN_HOLD.mul_f64(0.6 + 0.8 * self.random.unit_interval());
        self.events.push(Reverse((self.now + hold, Event::SlotEnd)));
    }

    fn grant(&mut self) {
        let next = match &mut self.order {
            SlotOrder::Fair(queue) => {
                let granted = queue.grant_next(&mut |_| Some(1), self.now);
                granted.map(|(granted, _)| granted.request.request_id as usize)
            }
            SlotOrder::Arrival(queue) => queue.pop_front(),
        };
        if let Some(attempt) = next {
            self.start(attempt);
        }
    }

    /// Returns the part of those attempts that were in time, of the callers whose attempts they are.
    fn part_in_time(&self, counted: impl Fn(&Attempt) -> bool, callers: usize) -> f64 {
        let is_in_time =
            |it: &&Attempt| it.started && it.ended_at.is_some_and(|at| at <= it.latest_start);
        let in_time = self.attempts.iter().filter(|it| counted(it)).filter(is_in_time).count();
        in_time as f64 / callers as f64
    }

    /// Returns the part of the callers of some teams that were in time, counted from their last attempt.
    pub(super) fn callers_in_time(&self, is_counted: impl Fn(usize) -> bool) -> f64 {
        let firsts = self.attempts.iter().filter(|it| !it.is_retry && is_counted(it.team));
        self.part_in_time(|it| is_counted(it.team), firsts.count())
    }

    /// Returns the part of the second attempts that were in time.
    pub(super) fn returns_in_time(&self) -> f64 {
        let returns = self.attempts.iter().filter(|it| it.is_retry).count();
        self.part_in_time(|it| it.is_retry, returns)
    }
}
