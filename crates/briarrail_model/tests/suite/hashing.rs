//! Hashes that must not change between releases.

use briarrail_model::{HostName, StableHash, hash_bytes, hash_pair};

#[test]
fn hashes_are_those_of_earlier_releases() {
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
fn pairs_spread_chats_evenly() {
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
    // 1,000 chats a target on average; six standard deviations of 30.
    assert!(
        counts.iter().all(|count| (820..=1_180).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn pairs_depend_on_their_order() {
    let (left, right) = (StableHash(1), StableHash(2));
    assert_ne!(hash_pair(left, right), hash_pair(right, left));
}
