//! Detects that the target of an attempt is silent.

use std::sync::Mutex;
use std::time::Duration;

use cuminramp_core::{Name, SortedMap};
use cuminramp_routes::Target;
use cuminramp_targets::AttemptEnd;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::dispatch::attempt::record_outcome;
use crate::state::{DaemonState, lock};

/// Reports targets that miss their load reports to the attempts that run on them.
///
/// An answer that is not a stream arrives all at once when it is finished, so an attempt can't
/// distinguish a slow target from a silent one. Polling for load reports can, since a silent target
/// doesn't answer the polls.
#[derive(Default)]
pub(crate) struct SilenceSignals {
    tokens: Mutex<SortedMap<Name, CancellationToken>>,
}

impl SilenceSignals {
    fn token_for(&self, target: &Name) -> CancellationToken {
        lock(&self.tokens).get_or_insert_with(target.clone(), CancellationToken::new).clone()
    }

    /// Reports a silence to the attempts that are running on a target. Later attempts get a new token.
    pub(crate) fn report_silence(&self, target: &str) {
        if let Some(token) = lock(&self.tokens).remove(target) {
            token.cancel();
        }
    }
}

/// Watches the target of one attempt for silence.
pub(crate) struct SilenceWatch {
    target: Target,
    /// Time without data after which the target counts as silent.
    timeout: Duration,
    silent_at: Instant,
    /// Cancelled when the target misses its load reports.
    missed_reports: CancellationToken,
    is_silent: bool,
}

impl SilenceWatch {
    pub(crate) fn new(state: &DaemonState, target: &Target, timeout: Duration) -> Self {
        SilenceWatch {
            target: target.clone(),
            timeout,
            silent_at: Instant::now() + timeout,
            missed_reports: state.silence_signals.token_for(&target.name),
            is_silent: false,
        }
    }

    pub(crate) fn target(&self) -> &Target {
        &self.target
    }

    /// Waits until the target has sent nothing for the timeout or has missed its load reports.
    pub(crate) async fn wait(&self) {
        tokio::select! {
            () = sleep_until(self.silent_at) => {}
            () = self.missed_reports.cancelled() => {}
        }
    }

    /// Restarts the timeout.
    pub(crate) fn restart(&mut self) {
        self.silent_at = Instant::now() + self.timeout;
    }

    /// Records a silence, the same one only once, and watches for the next timeout.
    ///
    /// If each timeout of a long silence were recorded, one dead connection would keep a healthy target
    /// ejected until the request's deadline.
    pub(crate) fn record_silence(&mut self, state: &DaemonState) {
        if !self.is_silent {
            log::info!(target_name = &*self.target.name; "target-silent");
            record_outcome(state, &self.target, AttemptEnd::Silent);
        }
        self.is_silent = true;
        self.restart();
        if self.missed_reports.is_cancelled() {
            self.missed_reports = state.silence_signals.token_for(&self.target.name);
        }
    }

    /// Records that the target has sent something.
    pub(crate) fn record_data(&mut self, state: &DaemonState) {
        if std::mem::take(&mut self.is_silent) {
            record_outcome(state, &self.target, AttemptEnd::Resumed);
        }
    }
}
