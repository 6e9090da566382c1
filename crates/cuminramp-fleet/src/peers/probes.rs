//! Probes, with which hosts of a large fleet find out which others are alive.
//!
//! Each host probes one host of its own zone and one of another zone in each interval. So the number of
//! messages of a host does not depend on the size of the fleet, and each host is probed about once in an
//! interval.

use std::collections::VecDeque;
use std::time::Duration;

use cuminramp_core::{HostId, Name, RandomSource, SortedMap};
use tokio::time::Instant;

use super::PeerTable;

/// Interval between two probes of a host.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(350);
/// Time after which a probe counts as unanswered, less than [`PROBE_INTERVAL`] so that the next step finds it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of unanswered probes in a row after which a host is silent. One may be lost.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// Number of probed hosts by whose answers a host judges whether it is itself cut off.
const JUDGED_PROBES: usize = 12;
/// Numbers of these hosts that answer: with fewer than the first the local host is presumed to be cut off from
/// the others, until as many as the second answer.
const ANSWERED_BOUNDS: (usize, usize) = (4, 6);
/// Time within which a host that finds itself cut off found others silent because of that.
const CUT_OFF_DETECTION_TIME: Duration = Duration::from_secs(4);

/// What a step of the probes asks for, and what it found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ProbeStep {
    /// Addresses of the hosts to probe.
    pub probed: Vec<Name>,
    /// Hosts that did not answer and are recorded as silent from now on.
    pub silenced: Vec<HostId>,
}

/// Probe of a host that has not answered yet.
#[derive(Clone, Debug)]
struct PendingProbe {
    address: Name,
    sent_at: Instant,
    sends: u32,
}

/// Probes of the local host and their results.
#[derive(Debug, Default)]
pub(super) struct ProbeState {
    /// Hosts of the local zone that are still to be probed in this round.
    round: Vec<Name>,
    /// Zone of the last probe to another zone.
    last_far_zone: Option<Name>,
    pending: Vec<PendingProbe>,
    /// Whether the last hosts that were probed, and that were not known to be silent, answered.
    answers: VecDeque<bool>,
    /// Whether so few of them answered that the local host itself is presumed to be cut off.
    is_cut_off: bool,
    /// Time of the last message from any host of each zone.
    zones_heard: SortedMap<Name, Instant>,
}

impl ProbeState {
    /// Records a message that arrived directly from a host.
    pub(super) fn record_message(&mut self, address: &Name, zone: &Name, now: Instant) {
        self.zones_heard.insert(zone.clone(), now);
        let is_answer = self.pending.iter().any(|probe| probe.address == *address);
        if is_answer {
            self.pending.retain(|probe| probe.address != *address);
            self.record_answer(true);
        }
    }

    fn record_answer(&mut self, is_answered: bool) {
        self.answers.push_back(is_answered);
        if self.answers.len() > JUDGED_PROBES {
            self.answers.pop_front();
        }
        let answered = self.count_answered();
        self.is_cut_off = match self.is_cut_off {
            true => answered < ANSWERED_BOUNDS.1,
            false => self.answers.len() == JUDGED_PROBES && answered < ANSWERED_BOUNDS.0,
        };
    }

    fn count_answered(&self) -> usize {
        self.answers.iter().filter(|is_answered| **is_answered).count()
    }

    /// Returns the time of the last message from any host of a zone.
    pub(super) fn zone_heard_at(&self, zone: &str) -> Option<Instant> {
        self.zones_heard.get(zone).copied()
    }

    /// Returns whether the local host is presumed to be cut off from most others.
    pub(super) fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns the share of the probed hosts that answered, if the local host is presumed to be cut off.
    pub(super) fn answered_share(&self) -> Option<f64> {
        self.is_cut_off.then(|| self.count_answered() as f64 / JUDGED_PROBES as f64)
    }

    /// Forgets all results, because the process was paused.
    pub(super) fn reset(&mut self) {
        *self = ProbeState::default();
    }
}

impl PeerTable {
    /// Runs one step of the probes, due each [`PROBE_INTERVAL`].
    ///
    /// A host that answers neither of two probes is recorded as silent. While few of the probed hosts answer, no
    /// host is, and those recorded a moment ago are taken back: the local host is probably cut off itself, and
    /// what it recorded would reach the others when the cut ends.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread", start_paused = true)] async fn main() {
    /// use cuminramp_core::SeededRandom;
    /// use cuminramp_fleet::{KnownHost, PeerPolicy, PeerTable};
    /// use tokio::time::Instant;
    /// let host = |address: &str| KnownHost {
    ///     address: address.into(), incarnation: 1, caller_address: "c".into(), zone: "z".into(),
    ///     core_percent: 50,
    /// };
    /// let lost_timeout = std::time::Duration::from_secs(2);
    /// let mut table = PeerTable::new(host("a"), PeerPolicy { lost_timeout });
    /// table.discover(&host("b"), Instant::now());
    /// let step = table.step_probes(&mut SeededRandom::new(1), Instant::now());
    /// assert_eq!(step.probed, ["b".into()]);
    /// # }
    /// ```
    pub fn step_probes(&mut self, random: &mut dyn RandomSource, now: Instant) -> ProbeStep {
        let mut step = self.expire_probes(now);
        let chosen = [self.next_near_probe(random), self.next_far_probe(random)];
        for address in chosen.into_iter().flatten() {
            let is_pending = self.probes.pending.iter().any(|probe| probe.address == address);
            if !is_pending {
                let probe = PendingProbe { address: address.clone(), sent_at: now, sends: 1 };
                self.probes.pending.push(probe);
                step.probed.push(address);
            }
        }
        step
    }

    /// Handles probes that were not answered in time. Returns the addresses to probe again, and the hosts that
    /// are silent.
    fn expire_probes(&mut self, now: Instant) -> ProbeStep {
        let mut step = ProbeStep::default();
        let mut unanswered = Vec::new();
        for probe in &mut self.probes.pending {
            if now.duration_since(probe.sent_at) < PROBE_TIMEOUT {
                continue;
            }
            if probe.sends < MAX_UNANSWERED_PROBES {
                probe.sends += 1;
                probe.sent_at = now;
                step.probed.push(probe.address.clone());
            } else {
                unanswered.push(probe.address.clone());
            }
        }
        self.probes.pending.retain(|probe| !unanswered.contains(&probe.address));
        let was_cut_off = self.probes.is_cut_off();
        for address in unanswered {
            // A host that has left is expected not to answer.
            let was_alive = self.peers.get(&address).is_some_and(|record| {
                record.heartbeat.is_some() && record.silent_since.is_none() && !record.has_left
            });
            if was_alive {
                self.probes.record_answer(false);
                if !self.probes.is_cut_off() {
                    step.silenced.extend(self.mark_silent(&address, now));
                }
            }
        }
        if !was_cut_off && self.probes.is_cut_off() {
            self.withdraw_silences(CUT_OFF_DETECTION_TIME, now);
        }
        step
    }

    fn next_near_probe(&mut self, random: &mut dyn RandomSource) -> Option<Name> {
        if self.probes.round.is_empty() {
            let near = self
                .peers
                .values()
                .filter(|record| !record.has_left && record.host.zone == self.local.zone);
            self.probes.round = near.map(|record| record.host.address.clone()).collect();
        }
        let left = self.probes.round.len();
        (left > 0).then(|| self.probes.round.swap_remove(random.below(left)))
    }

    /// Returns a random host of the zone that follows the one probed last.
    fn next_far_probe(&mut self, random: &mut dyn RandomSource) -> Option<Name> {
        let far = || {
            self.peers
                .values()
                .filter(|record| !record.has_left && record.host.zone != self.local.zone)
        };
        let last = self.probes.last_far_zone.as_ref();
        let next = far().map(|record| &record.host.zone).filter(|zone| last < Some(zone)).min();
        let zone = next.or_else(|| far().map(|record| &record.host.zone).min())?.clone();
        let hosts: Vec<&Name> = far()
            .filter(|record| record.host.zone == zone)
            .map(|record| &record.host.address)
            .collect();
        let chosen = hosts[random.below(hosts.len())].clone();
        self.probes.last_far_zone = Some(zone);
        Some(chosen)
    }
}
