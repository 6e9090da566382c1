use std::time::Duration;

use tokio::time::{Instant, advance};

use super::{KnownOrigin, MAX_RECORDS, OriginSearch, RECORD_LIFETIME, StreamOrigin, StreamRecords};
use crate::heartbeat::name_hash;
use crate::placement::{FleetTarget, PlacementPolicy, PlacementTable, TargetPhase};
use crate::software::SoftwareVersion;

const WINDOW: Duration = Duration::from_secs(10);

fn software(version: &str) -> SoftwareVersion {
    SoftwareVersion::new("p", version)
}

fn origin(stream: u64, version: &str) -> StreamOrigin {
    StreamOrigin { stream, software: software(version), target: 7 }
}

fn single(version: &str, is_watched: bool) -> KnownOrigin {
    KnownOrigin::Single { software: software(version), is_watched }
}

fn target(id: &str, version: &str) -> FleetTarget {
    FleetTarget {
        id: id.into(),
        pool: "p".into(),
        address: "127.0.0.1:1".into(),
        zone: "z".into(),
        slots: 8,
        phase: TargetPhase::Serving,
        started_at_ms: 1,
        version: version.into(),
        cold_remaining: Duration::ZERO,
    }
}

fn count(records: &StreamRecords) -> usize {
    records.maps.iter().map(|map| map.len()).sum()
}

fn finish(is_named: bool, answers: &[KnownOrigin]) -> Option<SoftwareVersion> {
    let mut search = OriginSearch::new(is_named);
    let recorded = answers.iter().find_map(|answer| search.receive(*answer));
    recorded.or_else(|| search.finish())
}

/// A stream of unknown version must not go on, whatever hosts without a record believe.
#[test]
fn a_stream_goes_on_only_if_its_version_is_known() {
    let recorded = KnownOrigin::Recorded(software("v1"));

    assert_eq!(finish(true, &[KnownOrigin::Several, recorded]), Some(software("v1")));
    assert_eq!(finish(true, &[single("v2", true), recorded]), Some(software("v1")));
    assert_eq!(finish(true, &[KnownOrigin::Unknown, single("v1", true)]), Some(software("v1")));
    assert_eq!(finish(true, &[single("v1", false)]), None);
    assert_eq!(finish(true, &[single("v1", true), KnownOrigin::Several]), None);
    assert_eq!(finish(true, &[single("v1", true), single("v2", true)]), None);
    assert_eq!(finish(true, &[]), None);
    assert_eq!(finish(false, &[single("v1", false)]), Some(software("v1")));
    assert_eq!(finish(false, &[KnownOrigin::Several]), None);
}

/// Records of streams that have ended must not fill the memory of a host.
#[tokio::test(start_paused = true)]
async fn records_are_bounded_in_number_and_age() {
    let mut records = StreamRecords::default();
    for stream in 0..2 * MAX_RECORDS as u64 {
        records.record(origin(stream, "v1"), Instant::now());
    }
    let (kept, last) = (count(&records), 2 * MAX_RECORDS as u64 - 1);
    let is_newest_kept = records.find(last, Instant::now()).is_some();

    advance(RECORD_LIFETIME).await;
    let is_old_found = records.find(last, Instant::now()).is_some();
    records.record(origin(1, "v1"), Instant::now());

    assert!(kept <= MAX_RECORDS && is_newest_kept && !is_old_found);
    assert_eq!((count(&records), records.order.len()), (1, 1));
}

/// Two requests with one ID, or a target that started again at another version before its row was read:
/// neither version is certain.
#[tokio::test(start_paused = true)]
async fn contradicting_records_make_a_stream_unknown() {
    let (mut records, now) = (StreamRecords::default(), Instant::now());
    records.record(origin(1, "v1"), now);
    records.record(origin(1, "v2"), now);
    records.record(origin(1, "v1"), now);
    records.record(origin(2, "v1"), now);
    records.record(origin(3, "v2"), now);

    records.forget_target(7, software("v2"));

    assert_eq!(
        [1, 2, 3].map(|stream| records.find(stream, now)),
        [None, None, Some(software("v2"))]
    );
}

/// The last target of a version leaves. Streams that it began must not count as begun at the version that
/// is left.
#[tokio::test(start_paused = true)]
async fn a_version_that_has_left_counts_for_as_long_as_streams_last() {
    let mut placement = PlacementTable::new("z".into(), PlacementPolicy::default());
    let pool = name_hash("p");
    let known = |placement: &PlacementTable| placement.pool_software(pool, WINDOW, Instant::now());
    assert_eq!(known(&placement), KnownOrigin::Unknown);
    placement.put(target("a", "v1"));
    placement.put(target("b", "v1"));
    placement.begin_watch(Instant::now());
    assert_eq!(known(&placement), single("v1", false));
    advance(WINDOW).await;
    assert_eq!(known(&placement), single("v1", true));

    placement.put(target("a", "v2"));
    placement.remove("b");

    assert_eq!(known(&placement), KnownOrigin::Several);
    advance(WINDOW).await;
    assert_eq!(known(&placement), single("v2", true));
}
