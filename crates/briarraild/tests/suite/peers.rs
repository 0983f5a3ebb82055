//! Authentication of messages between routers.

use briarrail_model::{MilliDuration, StableHash};
use briarrail_peer::{
    ClaimReply, ClaimRequest, Envelope, FrameCodec, KeyRing, MessageKind, SharedKey,
};
use reqwest::StatusCode;

use super::test_harness::TestHarness;

const SECRET: &[u8] = b"secret of local tests only";

fn codec(secret: &[u8]) -> FrameCodec {
    FrameCodec::new(KeyRing::new(SharedKey::new(secret)))
}

fn claim(from: &str) -> Envelope<ClaimRequest> {
    Envelope {
        from: from.into(),
        incarnation: 1,
        to: "router-0".into(),
        body: ClaimRequest {
            key: "magadi\u{1f}ticket-1".to_owned(),
            body_hash: StableHash(1),
            router: from.to_owned(),
            attempt_id: 1,
            wait_ms: MilliDuration::from_secs(5),
        },
    }
}

async fn post_claim(
    harness: &TestHarness,
    codec: &FrameCodec,
    from: &str,
) -> (StatusCode, Vec<u8>) {
    let frame = codec
        .seal(MessageKind::ClaimRequest, &claim(from))
        .expect("frame");
    let url = format!("http://{}/v1/claim", harness.routers[0].peers_address());
    let response = harness
        .client
        .post(url)
        .body(frame)
        .send()
        .await
        .expect("response");
    let status = response.status();
    (status, response.bytes().await.expect("body").to_vec())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claims_are_accepted_only_from_listed_routers_with_the_key() {
    let harness = TestHarness::start(1, 1, 2).await;
    let valid_codec = codec(SECRET);
    for (codec, from) in [
        (codec(b"another secret of no use"), "router-1"),
        (valid_codec.clone(), "unlisted"),
        (valid_codec.clone(), "engine-0"),
    ] {
        let (status, _) = post_claim(&harness, &codec, from).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{from}");
    }
    let (status, body) = post_claim(&harness, &valid_codec, "router-1").await;
    assert_eq!(status, StatusCode::OK);
    let receiver = "router-1".into();
    let reply = valid_codec.open::<ClaimReply>(MessageKind::ClaimReply, &receiver, &body);
    assert!(matches!(
        reply.expect("reply").body,
        ClaimReply::Granted { .. }
    ));
    harness.stop().await;
}
