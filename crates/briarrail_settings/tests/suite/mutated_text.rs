//! Randomly mutated settings must not cause a panic.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::generator::{TypeGenerator, ValueGenerator, produce};
use briarrail_settings::DaemonSettings;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const EXAMPLE: &str = include_str!("../../../../examples/smilsu/settings.jsonc");
const FRAGMENTS: [&str; 14] = [
    "{", "}", "[", "]", ",", ":", "\"", "ļū", "//", "/*", "-1e400", "null", "\\u12", "\n",
];

/// One mutation of the text.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Mutation {
    Insert { offset: u16, fragment: u8 },
    Delete { offset: u16, count: u8 },
    Truncate { offset: u16 },
    Duplicate { offset: u16, count: u8 },
}

fn mutated_text(seed: u64) -> String {
    let options = Options::default().with_max_len(1 << 10);
    let mut driver = Rng::new(SmallRng::seed_from_u64(seed), &options);
    let count = 1 + (seed % 4) as usize;
    let mutations = produce::<Vec<Mutation>>().with().len(count);
    let mutations = mutations.generate(&mut driver).expect("enough input");
    let mut text: Vec<char> = EXAMPLE.chars().collect();
    for mutation in mutations {
        apply(&mut text, mutation);
    }
    text.into_iter().collect()
}

fn apply(text: &mut Vec<char>, mutation: Mutation) {
    let position = |offset: u16| usize::from(offset) % (text.len() + 1);
    let range = |offset: u16, count: u8| {
        let start = position(offset);
        start..(start + usize::from(count)).min(text.len())
    };
    match mutation {
        Mutation::Insert { offset, fragment } => {
            let fragment = FRAGMENTS[usize::from(fragment) % FRAGMENTS.len()];
            let offset = position(offset);
            text.splice(offset..offset, fragment.chars());
        }
        Mutation::Delete { offset, count } => {
            let range = range(offset, count);
            text.drain(range);
        }
        Mutation::Truncate { offset } => text.truncate(position(offset)),
        Mutation::Duplicate { offset, count } => {
            let range = range(offset, count);
            let fragment = text[range.clone()].to_vec();
            text.splice(range.end..range.end, fragment);
        }
    }
}

#[test]
fn mutated_settings_are_accepted_or_rejected_with_line_numbers() {
    let mut rejected = 0;
    for seed in 0..3_000 {
        let text = mutated_text(seed);
        let lines = text.matches('\n').count() + 1;
        let Err(errors) = DaemonSettings::from_text(&text) else {
            continue;
        };
        rejected += 1;
        assert!(!errors.0.is_empty(), "seed {seed}");
        for error in &errors.0 {
            assert!((1..=lines).contains(&error.line), "seed {seed}: {error}");
            assert!(
                !error.to_string().contains("replace me"),
                "seed {seed}: {error}"
            );
        }
    }
    assert!(rejected > 1_000, "only {rejected} texts were rejected");
}
