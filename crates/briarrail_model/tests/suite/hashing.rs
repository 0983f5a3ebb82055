//! Stability and distribution of the hashes.

use briarrail_model::{HostName, StableHash, hash_bytes, hash_pair};

#[test]
fn hashes_match_earlier_releases() {
    let host = HostName::from("pan-model-1").stable_hash();
    let chat = hash_bytes(b"chat-1");
    let text = format!(
        "{:016x} {:016x} {:016x}",
        host.0,
        chat.0,
        hash_pair(chat, host).0
    );
    insta::assert_snapshot!(text);
}

#[test]
fn rendezvous_hashing_spreads_chats_evenly() {
    let targets: Vec<_> = (0..12)
        .map(|number| HostName::from(format!("pan-model-{number}").as_str()).stable_hash())
        .collect();
    let mut counts = [0_u32; 12];
    for chat in 0..12_000_u32 {
        let chat = hash_bytes(&chat.to_le_bytes());
        let best = (0..12)
            .max_by_key(|&index| hash_pair(chat, targets[index]))
            .unwrap();
        counts[best] += 1;
    }
    // The mean is 1,000 chats per target; the range is six standard deviations of about 30.
    assert!(
        counts.iter().all(|count| (820..=1_180).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn hash_pair_depends_on_the_order() {
    let (left, right) = (StableHash(1), StableHash(2));
    assert_ne!(hash_pair(left, right), hash_pair(right, left));
}
