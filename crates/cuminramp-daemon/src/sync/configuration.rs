//! The configuration in force on this host, kept up to date from the table and from other hosts.

use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use cuminramp_core::KeyDigest;
use cuminramp_platform::{StoreError, Version};
use cuminramp_routes::{
    CatchUp, Configuration, GenerationLog, KeyGrant, RouteIndex, WithdrawalSet,
};
use cuminramp_wire::peer::{PullReply, PullRequest, VersionDigest};
use cuminramp_wire::rows::{ChangeSet, HeadRow, Snapshot};
use cuminramp_wire::{decode_row, encode_row};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::state::{DaemonState, lock};
use crate::sync::{HEAD_KEY, change_key, snapshot_name};

/// Maximum number of change sets read from the table in one call.
const MAX_CHANGES_PER_READ: u64 = 256;

/// A configuration and the route index built from it.
pub(crate) struct InForceConfiguration {
    pub(crate) configuration: Configuration,
    pub(crate) index: RouteIndex,
}

impl InForceConfiguration {
    fn new(configuration: Configuration) -> Self {
        let index = RouteIndex::new(&configuration);
        InForceConfiguration { configuration, index }
    }
}

/// Holds the configuration in force, the log of the latest change sets, and the withdrawals that are in
/// force here but not yet written to the table.
pub(crate) struct ConfigurationStore {
    in_force: ArcSwap<InForceConfiguration>,
    withdrawals: ArcSwap<WithdrawalSet>,
    /// Also locked while `in_force` or `withdrawals` is replaced, so that of two concurrent updates neither
    /// is lost.
    log: Mutex<GenerationLog>,
    /// Number of changes of the generation or of the withdrawals.
    changed: watch::Sender<u64>,
}

impl ConfigurationStore {
    pub(crate) fn new(log_generations: usize) -> Self {
        ConfigurationStore {
            in_force: ArcSwap::from_pointee(InForceConfiguration::new(Configuration::default())),
            withdrawals: ArcSwap::from_pointee(WithdrawalSet::new()),
            log: Mutex::new(GenerationLog::new(log_generations)),
            changed: watch::channel(0).0,
        }
    }

    pub(crate) fn in_force(&self) -> Arc<InForceConfiguration> {
        self.in_force.load_full()
    }

    pub(crate) fn generation(&self) -> u64 {
        self.in_force.load().configuration.generation
    }

    pub(crate) fn withdrawals(&self) -> Arc<WithdrawalSet> {
        self.withdrawals.load_full()
    }

    /// Returns a receiver that is notified when the generation or the withdrawals change.
    pub(crate) fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns the grant of a key, or `None` if the key is unknown or withdrawn.
    pub(crate) fn find_key(&self, digest: &KeyDigest) -> Option<KeyGrant> {
        let in_force = self.in_force.load();
        let grant = in_force.configuration.find_key(digest)?;
        (!self.withdrawals.load().contains(digest)).then(|| grant.clone())
    }

    /// Applies a change set if it belongs to the next generation; returns whether it did.
    pub(crate) fn apply_changes(&self, set: ChangeSet) -> bool {
        let mut log = lock(&self.log);
        let Ok(next) = self.in_force.load().configuration.apply(&set) else {
            return false;
        };
        log.push(Arc::new(set));
        self.install(next);
        true
    }

    /// Applies a snapshot if it is newer than the configuration in force; returns whether it did.
    pub(crate) fn apply_snapshot(&self, snapshot: &Snapshot) -> bool {
        let _log = lock(&self.log);
        if snapshot.generation <= self.generation() {
            return false;
        }
        self.install(Configuration::from_snapshot(snapshot));
        true
    }

    fn install(&self, configuration: Configuration) {
        let generation = configuration.generation;
        let mut withdrawals = WithdrawalSet::clone(&self.withdrawals.load());
        withdrawals.remove_written(|digest| !configuration.keys.contains_key(digest));
        self.in_force.store(Arc::new(InForceConfiguration::new(configuration)));
        self.withdrawals.store(Arc::new(withdrawals));
        self.changed.send_modify(|count| *count += 1);
        log::info!(generation = generation; "generation-in-force");
    }

    /// Withdraws keys on this host before the table lists them as withdrawn; returns how many of them were
    /// not withdrawn yet. Ignores keys that the configuration lacks.
    pub(crate) fn withdraw(&self, digests: impl IntoIterator<Item = KeyDigest>) -> usize {
        let _log = lock(&self.log);
        let mut withdrawals = WithdrawalSet::clone(&self.withdrawals.load());
        let in_force = self.in_force.load();
        let known = digests.into_iter().filter(|key| in_force.configuration.keys.contains_key(key));
        let added = known.filter(|digest| withdrawals.insert(*digest)).count();
        if added > 0 {
            self.withdrawals.store(Arc::new(withdrawals));
            self.changed.send_modify(|count| *count += 1);
            log::info!(keys = added as u64; "keys-withdrawn");
        }
        added
    }

    fn catch_up(&self, after: u64) -> (Arc<InForceConfiguration>, CatchUp) {
        let log = lock(&self.log);
        let in_force = self.in_force();
        let missing = log.catch_up(&in_force.configuration, after);
        (in_force, missing)
    }
}

/// Returns the digest of this host's versions that probes carry.
pub(crate) fn version_digest(state: &DaemonState) -> VersionDigest {
    VersionDigest {
        generation: state.configuration.generation(),
        withdrawal_hash: state.configuration.withdrawals().digest_hash(),
        shard_hash: lock(&state.ledger).shards().digest_hash(),
        table_age_ms: state.contact.age(Instant::now()).as_millis() as u64,
    }
}

/// Polls the table for newer generations.
pub(crate) async fn poll_generations(state: Arc<DaemonState>) {
    loop {
        if let Err(error) = read_generations(&state).await {
            log::warn!(reason = error.to_string().as_str(); "table-unreachable");
        }
        tokio::time::sleep(state.settings.configuration.poll_interval()).await;
    }
}

/// The head row, which names the newest generation, and its version for a compare-and-set write.
#[derive(Default)]
pub(crate) struct VersionedHead {
    pub(crate) row: HeadRow,
    pub(crate) version: Version,
}

/// Reads the head row; a missing row stands for generation 0.
pub(crate) async fn read_head(state: &DaemonState) -> Result<VersionedHead, StoreError> {
    let requested_at = Instant::now();
    let rows = state.platform.table.read(&[HEAD_KEY.to_owned()]).await?;
    state.record_table_contact(requested_at);
    let Some(found) = rows.into_iter().next().flatten() else {
        return Ok(VersionedHead::default());
    };
    let row = decode_row(&found.value).unwrap_or_default();
    Ok(VersionedHead { row, version: found.version })
}

/// Brings this host up to the table's newest generation, and returns the head row.
pub(crate) async fn read_generations(state: &DaemonState) -> Result<VersionedHead, StoreError> {
    let head = read_head(state).await?;
    if head.row.generation > state.configuration.generation() {
        read_missing_generations(state, &head.row).await?;
    }
    Ok(head)
}

async fn read_missing_generations(state: &DaemonState, head: &HeadRow) -> Result<(), StoreError> {
    if head.snapshot > state.configuration.generation() {
        let object = state.platform.objects.get(&snapshot_name(head.snapshot)).await?;
        let snapshot = object.and_then(|bytes| decode_row::<Snapshot>(&bytes).ok());
        if let Some(snapshot) = snapshot {
            state.configuration.apply_snapshot(&snapshot);
        }
    }
    let mut next = state.configuration.generation() + 1;
    while next <= head.generation {
        let last = head.generation.min(next + MAX_CHANGES_PER_READ - 1);
        let keys: Vec<String> = (next..=last).map(change_key).collect();
        for row in state.platform.table.read(&keys).await?.into_iter().flatten() {
            if let Ok(set) = decode_row::<ChangeSet>(&row.value) {
                state.configuration.apply_changes(set);
            }
        }
        next = last + 1;
    }
    Ok(())
}

/// Handles a pull request: records its withdrawals and returns what the requesting host lacks.
pub(crate) fn handle_pull(state: &DaemonState, request: &PullRequest) -> PullReply {
    record_withdrawals(state, &request.withdrawals);
    let (in_force, missing) = state.configuration.catch_up(request.after_generation);
    let mut reply = PullReply {
        generation: in_force.configuration.generation,
        withdrawals: withdrawal_bytes(state),
        ..PullReply::default()
    };
    match missing {
        CatchUp::Nothing => {}
        CatchUp::Changes(sets) => {
            reply.changes = sets.iter().map(|set| encode_row(&**set)).collect()
        }
        CatchUp::Snapshot => reply.snapshot = encode_row(&in_force.configuration.to_snapshot()),
    }
    if request.want_shards {
        let rows = lock(&state.ledger).shards().to_rows();
        reply.shards = rows.iter().map(encode_row).collect();
    }
    reply
}

/// Returns a pull request for all that this host lacks.
pub(crate) fn pull_request(state: &DaemonState, want_shards: bool) -> PullRequest {
    PullRequest {
        after_generation: state.configuration.generation(),
        withdrawals: withdrawal_bytes(state),
        want_shards,
    }
}

/// Applies the reply to a pull request.
pub(crate) fn merge_pull(state: &DaemonState, reply: &PullReply) {
    if !reply.snapshot.is_empty()
        && let Ok(snapshot) = decode_row::<Snapshot>(&reply.snapshot)
    {
        state.configuration.apply_snapshot(&snapshot);
    }
    for bytes in &reply.changes {
        if let Ok(set) = decode_row::<ChangeSet>(bytes) {
            state.configuration.apply_changes(set);
        }
    }
    record_withdrawals(state, &reply.withdrawals);
    let now = Instant::now();
    let mut ledger = lock(&state.ledger);
    for bytes in &reply.shards {
        if let Ok(row) = decode_row(bytes) {
            ledger.shards_mut().apply_row(&row, now);
        }
    }
}

fn withdrawal_bytes(state: &DaemonState) -> Vec<Vec<u8>> {
    let withdrawals = state.configuration.withdrawals();
    withdrawals.digests().iter().map(|digest| digest.as_bytes().to_vec()).collect()
}

fn record_withdrawals(state: &DaemonState, bytes: &[Vec<u8>]) {
    let digests = bytes.iter().filter_map(|bytes| KeyDigest::from_bytes(bytes));
    state.configuration.withdraw(digests);
}
