use cuminramp_fleet::{HostBeat, ItemDemand, KnownHost, TargetLoad, TeamUsage};
use proptest::prelude::*;

fn beat() -> HostBeat {
    HostBeat {
        host: KnownHost {
            address: "10.1.0.21:7360".into(),
            incarnation: 7,
            caller_address: "10.1.0.21:8689".into(),
            zone: "z".into(),
        },
        sequence: 9,
        is_ready: true,
        has_left: false,
        wants_answer: false,
        reaches_store: true,
        declarations: 3,
        targets: 4,
        demand: vec![ItemDemand { is_late: false, due_in_ms: 9_000, items: 5 }],
        loads: vec![TargetLoad { target: 1, online: 2, batch: 3 }],
        outcomes: vec![],
        usage: vec![TeamUsage { team: 1, admitted: 2, level: -3 }],
        is_usage_whole: true,
        is_settled: true,
        known: vec![],
        suspects: vec![],
        ended: vec![],
    }
}

proptest! {
    /// Datagrams of any kind arrive at the port of beats. None may stop the host.
    #[test]
    fn no_datagram_makes_the_reader_fail_otherwise(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = postcard::from_bytes::<HostBeat>(&bytes);
    }

    /// A beat that was cut short on its way is no beat: taken in part, it would say that its host
    /// has nothing in flight.
    #[test]
    fn a_beat_that_was_cut_is_not_taken(kept in 0_usize..10_000) {
        let bytes = postcard::to_allocvec(&beat()).unwrap();

        let read = postcard::from_bytes::<HostBeat>(&bytes[..kept % bytes.len()]);

        prop_assert!(read.is_err());
    }
}
