//! Admission at one endpoint: overcommitted slots and when their tasks start.

use std::time::{Duration, Instant};

use cranberryridge_policy::gate::{Demand, Gate, Key, Settings, Verdict};

/// Duration of each task.
const WORK_DURATION: Duration = Duration::from_secs(1);

/// Creates a gate with two slots whose tasks took [`WORK_DURATION`] so far.
fn gate(now: Instant) -> Gate {
    let settings = Settings {
        slots: 2,
        pages: 2,
        ..Settings::default()
    };
    let mut gate = Gate::new(settings);
    let (key, verdict) = gate.request(now, demand(now, 0.0));
    assert_eq!(verdict, Verdict::Granted);
    assert!(gate.start(now, key));
    gate.release(now + WORK_DURATION, key);
    gate
}

/// Creates a demand whose work starts when the present work should be finished.
fn demand(now: Instant, overcommit: f64) -> Demand {
    Demand {
        pages: 1,
        time_to_first_token: WORK_DURATION,
        max_wait: 10 * WORK_DURATION,
        overcommit,
        ..Demand::new(now + 20 * WORK_DURATION)
    }
}

/// Fills both slots with started tasks.
fn fill(gate: &mut Gate, now: Instant) -> Vec<Key> {
    let keys = (0..2).map(|_| {
        let (key, verdict) = gate.request(now, demand(now, 0.0));
        assert_eq!(verdict, Verdict::Granted);
        assert!(gate.start(now, key));
        key
    });
    keys.collect()
}

#[test]
fn no_slot_is_overcommitted_at_ratio_zero() {
    let now = Instant::now();
    let mut gate = gate(now);
    fill(&mut gate, now);
    let (_, verdict) = gate.request(now, demand(now, 0.0));
    assert!(matches!(verdict, Verdict::Queued(_)), "{verdict:?}");
}

#[test]
fn a_slot_predicted_to_be_free_in_time_is_overcommitted() {
    let now = Instant::now();
    let mut gate = gate(now);
    let first = fill(&mut gate, now);
    let (overcommitted, verdict) = gate.request(now, demand(now, 0.5));
    assert_eq!(verdict, Verdict::Granted);
    let (_, verdict) = gate.request(now, demand(now, 0.5));
    assert!(matches!(verdict, Verdict::Queued(_)), "{verdict:?}");

    // An overcommitted task starts only when its slot is actually free.
    assert!(!gate.start(now, overcommitted));
    assert!(!gate
        .advance(now)
        .contains(&(overcommitted, Verdict::Started)));
    gate.release(now, first[0]);
    assert!(gate
        .advance(now)
        .contains(&(overcommitted, Verdict::Started)));
}

#[test]
fn no_more_tasks_start_than_fit() {
    let now = Instant::now();
    let mut gate = gate(now);
    let mut started = fill(&mut gate, now).len();
    let overcommitted = (0..10).map(|_| gate.request(now, demand(now, 1.0)));
    let overcommitted = overcommitted.collect::<Vec<_>>();
    let granted = overcommitted
        .iter()
        .filter(|(_, verdict)| *verdict == Verdict::Granted);
    for (key, _) in granted {
        started += usize::from(gate.start(now, *key));
    }
    assert_eq!(started, 2);
}

#[test]
fn a_task_released_before_its_start_leaves_no_state() {
    let now = Instant::now();
    let mut gate = gate(now);
    let first = fill(&mut gate, now);
    let (overcommitted, _) = gate.request(now, demand(now, 0.5));
    assert!(!gate.start(now, overcommitted));
    gate.release(now, overcommitted);
    first.iter().for_each(|key| gate.release(now, *key));
    assert!(gate.advance(now).is_empty());
    let load = gate.load();
    assert_eq!((load.running, load.queued, load.free), (0, 0, 2));
    assert!(!gate.start(now, overcommitted));
    assert!(gate.advance(now).is_empty());
}
