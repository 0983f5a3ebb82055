//! Parsing of randomly mutated tables never panics.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::generator::{TypeGenerator, ValueGenerator, produce};
use briarctl::TableFile;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const VALID_TABLES: &str = include_str!("../../../../examples/smilsu/tables.jsonc");
const TOKENS: [&str; 14] = [
    "{", "}", "[", "]", ",", ":", "\"", "ļū", "//", "/*", "-1e400", "null", "\\u12", "\n",
];

/// One mutation of the text.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Mutation {
    Insert { at: u16, token: u8 },
    Delete { at: u16, count: u8 },
    Truncate { at: u16 },
    Duplicate { at: u16, count: u8 },
}

fn mutated_text(seed: u64) -> String {
    let options = Options::default().with_max_len(1 << 10);
    let mut driver = Rng::new(SmallRng::seed_from_u64(seed), &options);
    let count = 1 + (seed % 4) as usize;
    let mutations = produce::<Vec<Mutation>>().with().len(count);
    let mutations = mutations.generate(&mut driver).expect("enough input");
    let mut text: Vec<char> = VALID_TABLES.chars().collect();
    for mutation in mutations {
        apply(&mut text, mutation);
    }
    text.into_iter().collect()
}

fn apply(text: &mut Vec<char>, mutation: Mutation) {
    let char_index = |at: u16| usize::from(at) % (text.len() + 1);
    let range = |at: u16, count: u8| {
        let start = char_index(at);
        start..(start + usize::from(count)).min(text.len())
    };
    match mutation {
        Mutation::Insert { at, token } => {
            let token = TOKENS[usize::from(token) % TOKENS.len()];
            let at = char_index(at);
            text.splice(at..at, token.chars());
        }
        Mutation::Delete { at, count } => {
            let range = range(at, count);
            text.drain(range);
        }
        Mutation::Truncate { at } => text.truncate(char_index(at)),
        Mutation::Duplicate { at, count } => {
            let range = range(at, count);
            let copied = text[range.clone()].to_vec();
            text.splice(range.end..range.end, copied);
        }
    }
}

#[test]
fn mutated_tables_are_accepted_or_rejected_with_line_numbers() {
    let mut rejected = 0;
    for seed in 0..1_000 {
        let text = mutated_text(seed);
        let lines = text.matches('\n').count() + 1;
        let Err(errors) = TableFile::from_text_validated(&text, "tables.jsonc") else {
            continue;
        };
        rejected += 1;
        assert!(!errors.errors.is_empty(), "seed {seed}");
        for error in &errors.errors {
            assert!((1..=lines).contains(&error.line), "seed {seed}: {errors}");
        }
    }
    assert!(rejected > 300, "only {rejected} texts were rejected");
}
