//! Garbled text never stops the process.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::generator::{TypeGenerator, ValueGenerator, produce};
use briarrail_settings::DaemonSettings;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const GOOD: &str = include_str!("../../../../examples/smilsu/settings.jsonc");
const PIECES: [&str; 14] = [
    "{", "}", "[", "]", ",", ":", "\"", "ļū", "//", "/*", "-1e400", "null", "\\u12", "\n",
];

/// One change of the text.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Garble {
    Insert { at: u16, piece: u8 },
    Delete { at: u16, count: u8 },
    Cut { at: u16 },
    Double { at: u16, count: u8 },
}

fn garbled(seed: u64) -> String {
    let options = Options::default().with_max_len(1 << 10);
    let mut driver = Rng::new(SmallRng::seed_from_u64(seed), &options);
    let count = 1 + (seed % 4) as usize;
    let changes = produce::<Vec<Garble>>().with().len(count);
    let changes = changes.generate(&mut driver).expect("enough input");
    let mut text: Vec<char> = GOOD.chars().collect();
    for change in changes {
        apply(&mut text, change);
    }
    text.into_iter().collect()
}

fn apply(text: &mut Vec<char>, change: Garble) {
    let place = |at: u16| usize::from(at) % (text.len() + 1);
    let run = |at: u16, count: u8| {
        let start = place(at);
        start..(start + usize::from(count)).min(text.len())
    };
    match change {
        Garble::Insert { at, piece } => {
            let piece = PIECES[usize::from(piece) % PIECES.len()];
            let at = place(at);
            text.splice(at..at, piece.chars());
        }
        Garble::Delete { at, count } => {
            let run = run(at, count);
            text.drain(run);
        }
        Garble::Cut { at } => text.truncate(place(at)),
        Garble::Double { at, count } => {
            let run = run(at, count);
            let piece = text[run.clone()].to_vec();
            text.splice(run.end..run.end, piece);
        }
    }
}

#[test]
fn garbled_settings_are_taken_or_refused_with_lines_for_fixed_seeds() {
    let mut refused = 0;
    for seed in 0..3_000 {
        let text = garbled(seed);
        let lines = text.matches('\n').count() + 1;
        let Err(errors) = DaemonSettings::from_text(&text) else {
            continue;
        };
        refused += 1;
        assert!(!errors.0.is_empty(), "seed {seed}");
        for error in &errors.0 {
            assert!((1..=lines).contains(&error.line), "seed {seed}: {error}");
            assert!(
                !error.to_string().contains("replace me"),
                "seed {seed}: {error}"
            );
        }
    }
    assert!(refused > 1_000, "only {refused} texts were refused");
}
