//! Encoding, authentication and decoding of frames.

use briarrail_peer::{
    Envelope, ExchangeMessage, FrameCodec, FrameErrorKind, KeyRing, MAX_FRAME_BYTES, MessageKind,
    SharedKey,
};
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

fn codec(secret: &[u8]) -> FrameCodec {
    FrameCodec::new(KeyRing::new(SharedKey::new(secret)))
}

fn envelope<T>(body: T) -> Envelope<T> {
    Envelope {
        from: "entry-1".into(),
        incarnation: 3,
        to: "entry-2".into(),
        body,
    }
}

fn open_error(codec: &FrameCodec, kind: MessageKind, frame: &[u8]) -> Option<FrameErrorKind> {
    let opened = codec.open::<ExchangeMessage>(kind, &"entry-2".into(), frame);
    opened.err().map(|error| error.kind)
}

#[test]
fn rejects_each_kind_of_invalid_frame() {
    let codec = codec(b"one");
    let message = envelope(ExchangeMessage::default());
    let frame = codec.seal(MessageKind::Exchange, &message).unwrap();
    let mut other_version = frame.to_vec();
    other_version[0] = 9;
    let mut tampered = frame.to_vec();
    *tampered.last_mut().unwrap() ^= 1;
    let malformed = envelope("no exchange");
    let malformed = codec.seal(MessageKind::Exchange, &malformed).unwrap();
    let misdirected = Envelope {
        to: "entry-9".into(),
        ..message
    };
    let misdirected = codec.seal(MessageKind::Exchange, &misdirected).unwrap();
    let oversized = vec![1; MAX_FRAME_BYTES + 1];
    let cases = [
        ("valid", frame.to_vec()),
        ("truncated", frame[..17].to_vec()),
        ("empty", Vec::new()),
        ("other version", other_version),
        ("tampered", tampered),
        ("not an exchange", malformed.to_vec()),
        ("for another host", misdirected.to_vec()),
        ("oversized", oversized),
    ];
    let results: Vec<_> = cases
        .iter()
        .map(|(name, frame)| (name, open_error(&codec, MessageKind::Exchange, frame)))
        .collect();
    insta::assert_debug_snapshot!(results);
    let as_reply = open_error(&codec, MessageKind::ExchangeReply, &frame);
    assert_eq!(as_reply, Some(FrameErrorKind::UnexpectedKind));
}

#[test]
fn accepts_both_keys_during_a_rotation() {
    let (old, new) = (SharedKey::new(b"old"), SharedKey::new(b"new"));
    let old_only = FrameCodec::new(KeyRing::new(old.clone()));
    let old_first = FrameCodec::new(KeyRing::new(old.clone()).with_accepted(new.clone()));
    let new_first = FrameCodec::new(KeyRing::new(new.clone()).with_accepted(old));
    let new_only = FrameCodec::new(KeyRing::new(new));
    let stages = [old_only, old_first, new_first, new_only];
    let message = envelope(ExchangeMessage::default());
    let frames: Vec<_> = stages
        .iter()
        .map(|codec| codec.seal(MessageKind::Exchange, &message).unwrap())
        .collect();
    let accepted: Vec<Vec<_>> = stages
        .iter()
        .map(|codec| {
            let open = |frame: &Bytes| open_error(codec, MessageKind::Exchange, frame).is_none();
            frames.iter().map(open).collect()
        })
        .collect();
    // Rows are receivers, columns are senders; adjacent stages always accept each other.
    let expected = [
        [true, true, false, false],
        [true, true, true, true],
        [true, true, true, true],
        [false, false, true, true],
    ];
    assert_eq!(accepted, expected);
}

#[test]
fn ignores_unknown_fields() {
    #[derive(Serialize, Deserialize)]
    struct LaterMessage {
        #[serde(rename = "s")]
        sequence: u64,
        z_added_later: Vec<String>,
    }
    let codec = codec(b"one");
    let later = envelope(LaterMessage {
        sequence: 8,
        z_added_later: vec!["x".into()],
    });
    let frame = codec.seal(MessageKind::Exchange, &later).unwrap();
    let opened = codec.open::<ExchangeMessage>(MessageKind::Exchange, &"entry-2".into(), &frame);
    assert_eq!(opened.unwrap().body.sequence, 8);
}

#[test]
fn an_oversized_message_is_not_sealed() {
    let message = envelope(ExchangeMessage {
        snapshot: Some(Bytes::from(vec![0; MAX_FRAME_BYTES])),
        ..ExchangeMessage::default()
    });
    let sealed = codec(b"one").seal(MessageKind::Exchange, &message);
    assert_eq!(sealed.unwrap_err().kind, FrameErrorKind::TooLarge);
}

/// Packed parts with random bytes and lengths never yield more items than fit in them.
#[test]
fn random_packed_parts_are_decoded_safely() {
    let codec = codec(b"one");
    for seed in 0..2_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let bytes: Vec<u8> = (0..rng.random_range(0..60)).map(|_| rng.random()).collect();
        let message = envelope(ExchangeMessage {
            loads: bytes.clone().into(),
            notices: bytes.clone().into(),
            edits: vec![bytes.into()],
            ..ExchangeMessage::default()
        });
        let frame = codec.seal(MessageKind::Exchange, &message).unwrap();
        let receiver = "entry-2".into();
        let opened = codec.open::<ExchangeMessage>(MessageKind::Exchange, &receiver, &frame);
        let body = opened.unwrap().body;
        assert!(body.load_items().count() <= body.loads.len() / 11);
        assert!(body.notice_items().count() <= body.notices.len() / 16);
    }
}
