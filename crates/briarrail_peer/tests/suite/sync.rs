//! Messages between a router and its hub.

use briarrail_dispatch::{CrashQuarantine, CrashSuspect, LostSuspect};
use briarrail_model::{MilliTime, hash_bytes};
use briarrail_peer::{
    Envelope, EvacuationList, FrameCodec, KeyRing, MessageKind, RosterUpdate, ServiceDemand,
    SharedKey, StoredConfig, SyncReply, SyncRequest, SyncRouter, TargetCount, TargetLimit,
    TargetPauseItem,
};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

fn router(index: u8) -> SyncRouter {
    SyncRouter {
        name: format!("entry-{index}").as_str().into(),
        address: format!("10.0.0.{index}:7000").parse().unwrap(),
        data_centre: "a".into(),
        capacity: 4,
    }
}

fn round_trip<T>(kind: MessageKind, body: T) -> (T, usize)
where
    T: Serialize + DeserializeOwned + Clone,
{
    let codec = FrameCodec::new(KeyRing::new(SharedKey::new(b"one")));
    let envelope = Envelope {
        from: "entry-1".into(),
        incarnation: 3,
        to: "entry-2".into(),
        body,
    };
    let frame = codec.seal(kind, &envelope).unwrap();
    let opened = codec.open(kind, &"entry-2".into(), &frame).unwrap();
    (opened.body, frame.len())
}

fn counts(targets: u32) -> Vec<TargetCount> {
    let count = |target: u32| TargetCount {
        target: target.wrapping_mul(0x9E37_79B9),
        requests: 9,
        good: 12,
        failed: 0,
    };
    (1..=targets).map(count).collect()
}

fn demands(services: u32) -> Vec<ServiceDemand> {
    let demand = |service: u32| ServiceDemand {
        service: service.wrapping_mul(0x9E37_79B9),
        requests: 700,
    };
    (1..=services).map(demand).collect()
}

#[test]
fn requests_and_replies_round_trip() {
    let request = SyncRequest {
        sender: router(1),
        config_revision: 7,
        config_version: Some(4),
        config: Some(StoredConfig {
            revision: 7,
            body: Bytes::from_static(b"config"),
        }),
        roster_epoch: 5,
        roster_sequence: 9,
        counts: counts(3),
        demands: demands(2),
        limits: vec![TargetLimit {
            target: 9,
            limit: Some(5_700),
            age_ms: Some(120),
            demand: 11,
            kept: 5,
            sent: 16,
        }],
        leaving: vec![77, u32::MAX],
        pauses: vec![TargetPauseItem {
            target: u32::MAX,
            left_ms: 3_600_000,
            routers: 3,
        }],
        part_reports: Bytes::from_static(b"reports"),
        request_reports: Bytes::from_static(b"requests"),
        evacuations: Some(EvacuationList {
            epoch: 2,
            revision: 8_314,
            age_ms: Some(900),
            data_centres: vec!["gongoni".into()],
            retained: vec![("marereni".into(), 2_400)],
        }),
        counted_routers: 2,
        routers_digest: 11,
        wants_view: true,
        is_stopping: false,
        is_greeting: true,
    };
    assert_eq!(
        round_trip(MessageKind::SyncRequest, request.clone()).0,
        request
    );
    let reply = SyncReply {
        view_age_ms: Some(40),
        view_min_age_ms: Some(20),
        store_read_failed: true,
        routers: Some(vec![router(1), router(2)]),
        live_routers: 2,
        next_round_ms: 200,
        counts: counts(2),
        demands: demands(2),
        limits: vec![TargetLimit {
            target: 9,
            limit: Some(5_700),
            age_ms: Some(120),
            demand: 11,
            kept: 5,
            sent: 16,
        }],
        leaving: vec![77, u32::MAX],
        pauses: vec![TargetPauseItem {
            target: u32::MAX,
            left_ms: 3_600_000,
            routers: 3,
        }],
        part_reports: Bytes::from_static(b"reports"),
        request_reports: Bytes::from_static(b"requests"),
        evacuations: Some(EvacuationList {
            epoch: 2,
            revision: 8_314,
            age_ms: Some(900),
            data_centres: vec!["gongoni".into()],
            retained: vec![("marereni".into(), 2_400)],
        }),
        store_epoch: Some(2),
        config: Some(StoredConfig {
            revision: 8,
            body: Bytes::from_static(b"config"),
        }),
        wants_config: true,
        roster: Some(RosterUpdate {
            epoch: 5,
            sequence: 10,
            is_full: false,
            rows: Bytes::from_static(b"rows"),
            is_compressed: false,
            removed: vec!["i-1".into()],
            expiring: vec![("i-2".into(), 1_700)],
        }),
    };
    assert_eq!(round_trip(MessageKind::SyncReply, reply.clone()).0, reply);
}

/// Guards against replies that overload a hub with a slow link: on a link of 10 Mbit/s it answers
/// about 25 followers five times per second with counts of 94 targets. A tenth of the link is
/// 1,000 bytes per round each way.
#[test]
fn a_typical_reply_fits_a_slow_link() {
    let reply = SyncReply {
        view_age_ms: Some(400),
        view_min_age_ms: Some(200),
        store_read_failed: false,
        routers: None,
        live_routers: 89,
        next_round_ms: 200,
        counts: counts(94),
        demands: demands(2),
        limits: Vec::new(),
        leaving: Vec::new(),
        pauses: Vec::new(),
        part_reports: Bytes::new(),
        request_reports: Bytes::new(),
        evacuations: Some(EvacuationList {
            epoch: 2,
            revision: 8_314,
            age_ms: Some(900),
            data_centres: vec!["gongoni".into()],
            retained: vec![("marereni".into(), 2_400)],
        }),
        store_epoch: Some(2),
        config: None,
        wants_config: false,
        roster: None,
    };
    let (_, bytes) = round_trip(MessageKind::SyncReply, reply);
    let per_second = bytes * 25 * 5;
    assert!(per_second * 8 <= 10_000_000 / 5, "{bytes} bytes per reply");
}

/// Guards against words of targets about themselves that take more than the control budget while as
/// many leave and pause as routers tell each other.
#[test]
fn words_of_targets_fit_the_control_budget() {
    let reply = |leaving: Vec<u32>, pauses: Vec<TargetPauseItem>| {
        let reply = SyncReply {
            view_age_ms: Some(400),
            view_min_age_ms: Some(200),
            store_read_failed: false,
            routers: None,
            live_routers: 300,
            next_round_ms: 600,
            counts: Vec::new(),
            demands: Vec::new(),
            limits: Vec::new(),
            leaving,
            pauses,
            part_reports: Bytes::new(),
            request_reports: Bytes::new(),
            evacuations: None,
            store_epoch: Some(2),
            config: None,
            wants_config: false,
            roster: None,
        };
        round_trip(MessageKind::SyncReply, reply).1
    };
    let pause = |index: u32| TargetPauseItem {
        target: u32::MAX - index,
        left_ms: 30_000 + index,
        routers: 100,
    };
    let leaving = (0..128).map(|index| u32::MAX - index).collect();
    let bytes = reply(leaving, (0..64).map(pause).collect()) - reply(Vec::new(), Vec::new());
    let per_second = 2 * bytes * 1_000 / 600;
    println!("{bytes} bytes, {per_second} a second");
    assert!(per_second <= 5_000, "{bytes} bytes, {per_second} a second");
}

/// Guards against evidence on requests and prompt parts that takes more than the control budget,
/// 5,000 bytes a second sent and received, while many targets crash; rounds of a large fleet are
/// 600 ms apart.
#[test]
fn evidence_on_crashes_fits_the_control_budget() {
    let mut quarantine = CrashQuarantine::default();
    for crash in 0_u64..2 {
        for request in 0_u64..200 {
            let hash = |name: &str| hash_bytes(format!("{name} {request}").as_bytes());
            let suspects = [
                CrashSuspect::prompt_part(hash("first")),
                CrashSuspect::prompt_part(hash("second")),
                CrashSuspect::request(hash("request")),
            ];
            let target = (crash * 1_000 + request) as u32;
            let now = MilliTime::from_millis(1_000 + crash * 2_000);
            let sent_at = now;
            let lost = suspects.map(|suspect| LostSuspect { suspect, sent_at });
            let changes = quarantine.record_crash(target, lost, now, now);
            assert_eq!(changes, []);
        }
    }
    let reports = quarantine.reports(MilliTime::from_millis(3_200));
    let encoded = [&reports.parts, &reports.requests].map(|reports| {
        let encoded = rmp_serde::to_vec(reports);
        encoded.unwrap().len()
    });
    let bytes: usize = encoded.into_iter().sum();
    let per_second = 2 * bytes * 1_000 / 600;
    println!("{bytes} bytes, {per_second} a second");
    assert!(per_second <= 5_000, "{bytes} bytes, {per_second} a second");
}

/// Routers of earlier versions neither send evacuations nor know the field.
#[test]
fn evacuations_are_left_out_unless_there_are_any() {
    let encoded = rmp_serde::to_vec_named(&EvacuationList::default()).unwrap();
    let decoded: EvacuationList = rmp_serde::from_slice(&encoded).unwrap();
    assert_eq!(decoded, EvacuationList::default());
    assert!(encoded.len() <= 16, "{} bytes", encoded.len());
}
