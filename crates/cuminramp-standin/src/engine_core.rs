//! Continuous batching: each step generates one token for every running sequence.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use cuminramp_core::SortedMap;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::EngineSettings;
use crate::text::expected_token;

/// Length of a cached prompt prefix, in characters.
const PREFIX_CHARS: usize = 64;

/// Load of an engine, as it was `age_ms` ago.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LoadReport {
    /// Number of running sequences.
    pub running: u32,
    /// Number of sequences that wait for a free slot.
    pub waiting: u32,
    /// Maximum number of sequences that run concurrently.
    pub slots: u32,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// Counters of an engine since it was started; a crash doesn't reset them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct EngineStats {
    /// Chat completions accepted.
    pub requests: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Sequences whose caller disconnected.
    pub cancelled: u64,
    /// Number of crashes.
    pub crashes: u64,
    /// Time in which at least one sequence ran, weighted by the fraction of slots in use, in milliseconds.
    pub busy_slot_ms: u64,
    /// Requests whose prefix was in the cache.
    pub prefix_hits: u64,
}

/// A sequence to generate: the tokens at positions `start..tokens` of the answer to `prompt`.
pub(crate) struct SequenceRequest {
    pub(crate) prompt: String,
    pub(crate) start: usize,
    pub(crate) tokens: usize,
}

/// Event of a sequence.
pub(crate) enum SequenceEvent {
    /// The next token.
    Token(String),
    /// The answer is complete. A sequence that is lost in a crash never sends this event.
    End,
}

struct Sequence {
    request: SequenceRequest,
    emitted: usize,
    prefill_steps: usize,
    sender: mpsc::UnboundedSender<SequenceEvent>,
}

#[derive(Default)]
struct CoreState {
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    prefixes: VecDeque<String>,
    stats: EngineStats,
    runs: SortedMap<String, u32>,
    reports: VecDeque<(Instant, LoadReport)>,
    /// Time until which the engine generates and sends nothing.
    silent_until: Option<Instant>,
}

/// Batching loop of one engine and its counters; the counters survive crashes.
pub(crate) struct EngineCore {
    settings: EngineSettings,
    state: Mutex<CoreState>,
    work_arrived: Notify,
}

impl EngineCore {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        EngineCore { settings, state: Mutex::default(), work_arrived: Notify::new() }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CoreState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Queues a sequence; its events are sent to the returned receiver.
    pub(crate) fn submit(
        &self,
        request: SequenceRequest,
    ) -> mpsc::UnboundedReceiver<SequenceEvent> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut state = self.lock();
        state.stats.requests += 1;
        let prefix: String = request.prompt.chars().take(PREFIX_CHARS).collect();
        let cached = state.prefixes.contains(&prefix);
        if cached {
            state.stats.prefix_hits += 1;
        } else {
            state.prefixes.push_back(prefix);
            if state.prefixes.len() > self.settings.prefix_entries {
                state.prefixes.pop_front();
            }
        }
        let prefill_steps = if cached { 0 } else { self.settings.prefill_steps };
        state.waiting.push_back(Sequence { request, emitted: 0, prefill_steps, sender });
        drop(state);
        self.work_arrived.notify_one();
        receiver
    }

    /// Counts a run of the work identified by `key` and returns the number of its runs so far.
    pub(crate) fn count_run(&self, key: &str) -> u32 {
        let mut state = self.lock();
        let runs = state.runs.get_or_insert_with(key.to_owned(), || 0);
        *runs += 1;
        *runs
    }

    pub(crate) fn runs(&self) -> Vec<(String, u32)> {
        self.lock().runs.iter().map(|(key, count)| (key.clone(), *count)).collect()
    }

    pub(crate) fn stats(&self) -> EngineStats {
        self.lock().stats.clone()
    }

    /// Simulates a crash: drops all sequences, the prefix cache and pending load reports.
    pub(crate) fn crash(&self) {
        let mut state = self.lock();
        state.stats.crashes += 1;
        state.running.clear();
        state.waiting.clear();
        state.prefixes.clear();
        state.reports.clear();
    }

    /// Returns the latest load report that is at least `report_lag_ms` old, or else the oldest one.
    ///
    /// A report is recorded on each call, so only the load at earlier calls is available.
    pub(crate) fn delayed_report(&self) -> LoadReport {
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        let now = Instant::now();
        let mut state = self.lock();
        let current = (now, self.current_report(&state));
        state.reports.push_back(current);
        while state.reports.len() > 1 && now.saturating_duration_since(state.reports[1].0) >= lag {
            state.reports.pop_front();
        }
        let (reported_at, report) = state.reports[0].clone();
        let age_ms = now.saturating_duration_since(reported_at).as_millis() as u64;
        LoadReport { age_ms, ..report }
    }

    fn current_report(&self, state: &CoreState) -> LoadReport {
        LoadReport {
            running: state.running.len() as u32,
            waiting: state.waiting.len() as u32,
            slots: self.settings.slots as u32,
            age_ms: 0,
        }
    }

    /// Makes the engine silent for `duration`; after that it goes on where it was.
    pub(crate) fn fall_silent(&self, duration: Duration) {
        self.lock().silent_until = Some(Instant::now() + duration);
    }

    /// Waits until the engine is no longer silent.
    pub(crate) async fn wait_out_silence(&self) {
        let until = self.lock().silent_until;
        if let Some(until) = until {
            tokio::time::sleep_until(until).await;
        }
    }

    /// Runs steps until the future is dropped.
    pub(crate) async fn run(&self) {
        loop {
            let Some(step) = self.begin_step() else {
                self.work_arrived.notified().await;
                continue;
            };
            tokio::time::sleep(step).await;
            self.wait_out_silence().await;
            self.end_step(step);
        }
    }

    /// Admits waiting sequences to free slots and returns the duration of the step; `None` if no
    /// sequence is running.
    fn begin_step(&self) -> Option<Duration> {
        let mut state = self.lock();
        while state.running.len() < self.settings.slots {
            let Some(sequence) = state.waiting.pop_front() else {
                break;
            };
            state.running.push(sequence);
        }
        let count = state.running.len() as u64;
        let micros = self.settings.step_base_us + self.settings.step_sequence_us * count;
        (count > 0).then(|| Duration::from_micros(micros))
    }

    fn end_step(&self, step: Duration) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let slot_micros = state.running.len() as u64 * step.as_micros() as u64;
        state.stats.busy_slot_ms += slot_micros / self.settings.slots as u64 / 1_000;
        let stats = &mut state.stats;
        state.running.retain_mut(|sequence| advance(sequence, stats));
    }
}

/// Advances a sequence by one step; returns whether it continues.
fn advance(sequence: &mut Sequence, stats: &mut EngineStats) -> bool {
    if sequence.sender.is_closed() {
        stats.cancelled += 1;
        return false;
    }
    if sequence.prefill_steps > 0 {
        sequence.prefill_steps -= 1;
        return true;
    }
    let position = sequence.request.start + sequence.emitted;
    if position < sequence.request.tokens {
        stats.tokens += 1;
        sequence.emitted += 1;
        let token = expected_token(&sequence.request.prompt, position);
        let _ = sequence.sender.send(SequenceEvent::Token(token));
    }
    let continues = position + 1 < sequence.request.tokens;
    if !continues {
        let _ = sequence.sender.send(SequenceEvent::End);
    }
    continues
}
