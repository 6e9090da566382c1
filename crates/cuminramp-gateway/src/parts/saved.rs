//! Quarantines of prompt parts in the store, so that they survive a loss of all hosts.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use cuminramp_fleet::{HeldPart, PoolPart};
use cuminramp_platform::{Row, Transaction};
use tokio::time::{Instant, sleep};

use super::saves_quarantine;
use crate::state::{GatewayState, lock};

/// Prefix of the keys of saved quarantines.
const ROW_PREFIX: &str = "parts//";
/// Maximum number of saved quarantines that are read.
const MAX_SAVED: usize = 256;
/// Time from the begin of a quarantine until it is saved: most sound parts are released by a trial before.
const SAVE_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which a saved quarantine is restored.
const SAVED_LIFETIME: Duration = Duration::from_secs(3_600);
/// Delay before the saved quarantines are read again if the store does not answer.
const RESTORE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Saves the quarantines that have lasted for a while, so that they survive a loss of all hosts. Only the host that ranks
/// first for a part does, and tries again at the next interval if the store does not answer.
pub(super) async fn save_quarantines(state: &Arc<GatewayState>) {
    let now = Instant::now();
    let mut unsaved = lock(&state.parts.table).quarantined_for(SAVE_DELAY, now);
    unsaved.retain(|held| !lock(&state.parts.saved).contains(&held.part));
    unsaved.retain(|held| saves_quarantine(state, held.part, now));
    for held in unsaved {
        let beside = held.beside.map_or_else(String::new, |part| part.to_string());
        let value = Bytes::from(format!("{} {beside}", unix_millis()));
        let transaction = Transaction::default().put(row_key(held.part), value);
        if state.store.commit(transaction).await.is_ok() {
            lock(&state.parts.saved).push(held.part);
        }
    }
}

/// Deletes the row of a part that is no longer quarantined. A row that stays is read by hosts that start, and ends with
/// the next sound response.
pub(super) fn delete_saved(state: &Arc<GatewayState>, part: PoolPart) {
    lock(&state.parts.saved).retain(|saved| *saved != part);
    let state = state.clone();
    tokio::spawn(async move {
        let deletes = vec![row_key(part)];
        let _ = state.store.commit(Transaction { deletes, ..Transaction::default() }).await;
    });
}

/// Reads the saved quarantines at the start of this host.
pub(crate) async fn restore_quarantines(state: Arc<GatewayState>) {
    let rows = loop {
        match state.store.scan(ROW_PREFIX, "", MAX_SAVED).await {
            Ok(rows) => break rows,
            Err(_) => sleep(RESTORE_RETRY_DELAY).await,
        }
    };
    for held in rows.iter().filter_map(read_row) {
        lock(&state.parts.table).restore(held, Instant::now());
        lock(&state.parts.saved).push(held.part);
        log::info!(part = &*held.part.to_string(); "part-restored");
    }
}

/// Reads a saved quarantine; `None` if it is too old or can't be read. The value is the time at which it was saved, in
/// milliseconds since the Unix epoch, and the part beside which it holds, if any.
fn read_row(row: &Row) -> Option<HeldPart> {
    let part = row.key.strip_prefix(ROW_PREFIX).and_then(PoolPart::parse)?;
    let (saved_at, beside) = std::str::from_utf8(&row.value).ok()?.split_once(' ')?;
    let age = unix_millis().saturating_sub(saved_at.parse().ok()?);
    let is_valid = age < SAVED_LIFETIME.as_millis() as u64;
    is_valid.then(|| HeldPart { part, beside: PoolPart::parse(beside) })
}

fn row_key(part: PoolPart) -> String {
    format!("{ROW_PREFIX}{part}")
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_millis() as u64)
}
