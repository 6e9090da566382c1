use cuminramp_core::Name;
use cuminramp_fleet::{
    AdmissionRequest, AdmissionWithdrawal, AttemptKind, HostHeartbeat, HostMessage, ItemDemand,
    KnownHost, KnownOrigin, OriginRequest, OriginResponse, OwnerFailure, PaceReport,
    RejectionReason, ReportedLoad, ShareReport, SlotCommand, SlotOutcome, SlotReport, SlotRequest,
    SlotResponse, SoftwareVersion, StreamOrigin, TargetLoad, TargetPaceReport, TeamUsage,
    TokenOutcome, TokenRequest, TokenResponse, VersionedSlotRequest, name_hash,
};
use proptest::prelude::*;

fn heartbeat() -> HostHeartbeat {
    HostHeartbeat {
        host: KnownHost {
            address: "10.1.0.21:7360".into(),
            incarnation: 7,
            caller_address: "10.1.0.21:8689".into(),
            zone: "z".into(),
            core_percent: 50,
        },
        sequence: 9,
        is_ready: true,
        has_left: false,
        is_join_request: false,
        wants_hosts: false,
        is_probe: false,
        revision: 1,
        statuses: vec![],
        status_digest: 0,
        reaches_store: true,
        declarations_version: 3,
        targets_version: 4,
        usage: vec![TeamUsage { team: 1, admitted: 2, recent: 1, level: -3 }],
        is_full: true,
        is_settled: true,
        known_hosts: vec![],
        crash_counts: vec![],
        ended: vec![],
        drains: vec![],
    }
}

fn report() -> SlotReport {
    SlotReport {
        incarnation: 7,
        sequence: 9,
        group: 1,
        acknowledged_grant: 3,
        loads: vec![TargetLoad { target: 1, online: 2, batch: 3 }],
        reported_loads: vec![ReportedLoad { target: 1, busy: 4 }],
        outcomes: vec![],
        avoided: vec![5],
        demand: vec![ItemDemand { is_late: false, due_in_ms: 9_000, items: 5 }],
    }
}

fn admission_request() -> AdmissionRequest {
    AdmissionRequest {
        incarnation: 7,
        request_id: 1,
        group: 1,
        avoided: vec![1],
        team: 2,
        weight_milli: 1_000,
        priority: 1,
        is_retry: true,
        max_wait_ms: 180,
        deadline_ms: 4_700,
        may_wait: true,
    }
}

const SHARE_REPORT: ShareReport =
    ShareReport { share_centi: 320, usage_centi: 410, pace_age_ms: Some(40) };

/// Returns one message of each kind, responses with each kind of outcome.
fn messages() -> Vec<HostMessage> {
    let outcome = SlotOutcome::Granted { target: 1, grant: 2 };
    let failed_address = Name::from("10.1.0.22:7360");
    let slot_request =
        SlotRequest { incarnation: 7, request_id: 1, group: 1, avoided: vec![1], may_queue: true };
    vec![
        HostMessage::Heartbeat(heartbeat()),
        HostMessage::Report(report()),
        HostMessage::Request(slot_request.clone()),
        HostMessage::VersionedRequest(VersionedSlotRequest {
            slot_request,
            software: SoftwareVersion::new("p", "v1"),
        }),
        HostMessage::StreamOrigin(StreamOrigin {
            stream: 1,
            software: SoftwareVersion::new("p", "v1"),
            target: 2,
        }),
        HostMessage::OriginRequest(OriginRequest {
            request_id: 1,
            stream: 1,
            pool: Some(2),
            window_ms: 10_000,
        }),
        HostMessage::OriginResponse(OriginResponse {
            request_id: 1,
            origin: KnownOrigin::Recorded(SoftwareVersion::new("p", "v1")),
        }),
        HostMessage::Response(SlotResponse { request_id: 1, outcome }),
        HostMessage::Command(SlotCommand::Limit { target: 1, items: 2 }),
        HostMessage::OwnerFailure(OwnerFailure { group: 1, failed_address, failed_incarnation: 4 }),
        HostMessage::TokenRequest(TokenRequest {
            incarnation: 7,
            request_id: 1,
            team: 1,
            other_owner_level: Some(-2),
            attempt: AttemptKind::First,
        }),
        HostMessage::TokenResponse(TokenResponse {
            request_id: 1,
            outcome: TokenOutcome::Exceeded { wait_ms: 300 },
            level: -2,
        }),
        HostMessage::PaceReport(PaceReport {
            incarnation: 7,
            group: 1,
            paces: vec![TargetPaceReport { target: 1, pace: 250, age_ms: 40 }],
        }),
        HostMessage::AdmissionRequest(admission_request()),
        HostMessage::AdmissionWithdrawal(AdmissionWithdrawal {
            incarnation: 7,
            request_id: 1,
            group: 1,
        }),
        response(SlotOutcome::Busy { wait_ms: 90 }),
        response(SlotOutcome::NoTarget),
        response(SlotOutcome::Waiting { wait_ms: 90 }),
        response(SlotOutcome::Rejected {
            retry_after_ms: 250,
            reason: RejectionReason::ShareUsed,
            report: SHARE_REPORT,
        }),
        response(SlotOutcome::GrantedAfterWait { target: 1, grant: 2, report: SHARE_REPORT }),
    ]
}

fn response(outcome: SlotOutcome) -> HostMessage {
    HostMessage::Response(SlotResponse { request_id: 1, outcome })
}

/// Guards against a message that arrives as another one or with other values.
#[test]
fn every_message_is_read_as_it_was_written() {
    for message in messages() {
        let bytes = postcard::to_allocvec(&message).unwrap();

        let read: HostMessage = postcard::from_bytes(&bytes).unwrap();

        assert_eq!(read, message);
    }
}

proptest! {
    /// Guards against a panic while decoding a datagram: arbitrary bytes may arrive at the hosts' port, and a
    /// panic would end the receiving task.
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = postcard::from_bytes::<HostMessage>(&bytes);
    }

    /// Guards against accepting a part of a truncated message: a truncated heartbeat or report would state
    /// that its host has nothing in flight.
    #[test]
    fn a_truncated_message_is_rejected(length in 0_usize..10_000, which in 0_usize..messages().len()) {
        let bytes = postcard::to_allocvec(&messages()[which]).unwrap();

        let read = postcard::from_bytes::<HostMessage>(&bytes[..length % bytes.len()]);

        prop_assert!(read.is_err());
    }
}

/// Bytes of a message without the headers of its datagram.
fn size_of(message: &HostMessage) -> usize {
    postcard::to_allocvec(message).unwrap().len()
}

/// Guards against figures of the admission queue in messages of groups without one, and against an admission
/// that costs more than docs/CAPACITY.md says. `--nocapture` prints the figures of that page.
#[test]
fn the_cost_of_admission_is_as_documented() {
    let (number, grant) = (100_000, 1_796_000_000_000_000);
    let (group, target) = (name_hash("pool-1/zone-0"), name_hash("engine-0"));
    let avoided = vec![];
    let slot_request = SlotRequest {
        incarnation: grant,
        request_id: number,
        group,
        avoided: avoided.clone(),
        may_queue: false,
    };
    let admission = AdmissionRequest {
        incarnation: grant,
        request_id: number,
        group,
        avoided,
        team: name_hash("team-1"),
        weight_milli: 20_000,
        ..admission_request()
    };
    let response = |outcome| HostMessage::Response(SlotResponse { request_id: number, outcome });
    let report = SHARE_REPORT;
    let reason = RejectionReason::ShareUsed;
    let sizes = [
        HostMessage::Request(slot_request),
        response(SlotOutcome::Granted { target, grant }),
        HostMessage::AdmissionRequest(admission),
        response(SlotOutcome::Busy { wait_ms: 250 }),
        response(SlotOutcome::Waiting { wait_ms: 250 }),
        response(SlotOutcome::GrantedAfterWait { target, grant, report }),
        response(SlotOutcome::Rejected { retry_after_ms: 400, reason, report }),
    ]
    .map(|message| size_of(&message));
    let [request, granted, admission, busy, waiting, after_wait, rejected] = sizes;
    println!("request {request}, granted {granted}, admission request {admission}, busy {busy}");
    println!("waiting {waiting}, granted after waiting {after_wait}, rejected {rejected}");
    // A request that waits for 200 ms asks without waiting, enters the queue and is repeated once.
    let waiting_200_ms = 3 * admission + busy + 2 * waiting + after_wait;
    println!(
        "bytes a request: off {}, without waiting {}, with waiting for 200 ms {waiting_200_ms}",
        request + granted,
        admission + granted
    );

    assert_eq!(sizes, [19, 18, 33, 7, 7, 24, 14]);
}
