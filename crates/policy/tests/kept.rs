//! Plays answers that a daemon keeps while some of them have no end.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use cranberryridge_policy::kept::Table;

/// Total size of the answers that are kept.
const MAX_BYTES: usize = 1_000_000;

/// Largest event.
const MAX_EVENT_BYTES: usize = 1_000;

/// Size of a sound answer.
const SOUND_BYTES: usize = 5_000;

/// Answers whose number is a multiple of this have no end.
const ENDLESS: u64 = 4;

/// Number of answers at once. The sound ones take less than the total.
const ANSWERS: usize = 100;

// Guards against answers without end that take the memory, or the room of sound answers.
#[test]
fn only_answers_without_end_give_way_and_the_total_is_bounded() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = Table::new(MAX_BYTES);
        let mut sizes = BTreeMap::new();
        let (mut next, mut given_way, mut whole) = (0, 0, 0);
        for _ in 0..20_000 {
            if sizes.len() < ANSWERS {
                sizes.insert(next, 0);
                next += 1;
            }
            let position = rng.random_range(0..sizes.len());
            let key = *sizes.keys().nth(position).unwrap();
            let bytes = rng.random_range(1..=MAX_EVENT_BYTES);
            *sizes.get_mut(&key).unwrap() += bytes;
            if let Some(largest) = table.add(key, bytes) {
                assert_eq!(largest % ENDLESS, 0, "seed {seed}: {}", sizes[&largest]);
                table.remove(largest);
                sizes.remove(&largest);
                given_way += 1;
            }
            assert!(table.bytes() <= MAX_BYTES, "seed {seed}");
            let is_sound = key % ENDLESS != 0;
            if is_sound && sizes.get(&key).is_some_and(|size| *size >= SOUND_BYTES) {
                table.remove(key);
                sizes.remove(&key);
                whole += 1;
            }
            assert_eq!(table.bytes(), sizes.values().sum::<usize>(), "seed {seed}");
        }
        assert!(given_way > 0 && whole > 0, "seed {seed}");
    }
}
