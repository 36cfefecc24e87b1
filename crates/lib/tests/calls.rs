//! A sidecar's record of plain calls: a call or key that was evicted never runs again.

use bytes::Bytes;

use cranberryridge::sidecar::calls::{Admission, Answer, Calls, Key, Settings};
use cranberryridge::wire::id::{Digest, Incarnation, Request};
use cranberryridge::wire::message::{Head, Verdict};

/// Returns the id of a request of an entry.
fn call(entry: u64, sequence: u64) -> Request {
    Request {
        entry: Incarnation(entry),
        sequence,
    }
}

/// Returns a key that the client chose.
fn key(number: u64) -> Key {
    Key {
        digest: Digest([number, 1]),
        request_digest: Digest([2, 2]),
        position: number,
        issued: false,
    }
}

/// Returns an answer with a body of `bytes` bytes.
fn answer(bytes: usize) -> Answer {
    let head = Head {
        status: 200,
        headers: Vec::new(),
        kept: false,
    };
    Answer {
        head,
        body: Bytes::from(vec![0; bytes]),
    }
}

/// Creates a record with small limits.
fn small_calls() -> Calls {
    Calls::new(Settings {
        max_calls: 2,
        max_watermarks: 1,
        max_answer_bytes: 100,
    })
}

#[test]
fn a_barred_attempt_never_runs_but_a_later_one_may() {
    let calls = small_calls();
    assert_eq!(calls.settle(call(1, 1), 1), Verdict::Barred);
    assert_eq!(calls.admit(call(1, 1), 1, None), Admission::Barred);
    assert_eq!(calls.admit(call(1, 1), 2, None), Admission::Run);
    assert_eq!(calls.admit(call(1, 1), 3, None), Admission::Seen);
    assert_eq!(calls.settle(call(1, 1), 3), Verdict::Running);
}

#[test]
fn a_forgotten_bar_still_bars() {
    let calls = small_calls();
    assert_eq!(calls.settle(call(1, 1), 1), Verdict::Barred);
    for sequence in 2..5 {
        assert_eq!(calls.admit(call(1, sequence), 1, None), Admission::Run);
    }
    assert_eq!(calls.admit(call(1, 1), 1, None), Admission::Seen);
    assert_eq!(calls.settle(call(1, 1), 1), Verdict::Forgotten);
    assert_eq!(calls.settle(call(1, 9), 1), Verdict::Barred);
}

#[test]
fn without_room_for_a_watermark_nothing_more_runs() {
    let calls = small_calls();
    assert_eq!(calls.admit(call(1, 1), 1, None), Admission::Run);
    assert_eq!(calls.admit(call(2, 1), 1, None), Admission::Run);
    assert_eq!(calls.admit(call(2, 2), 1, None), Admission::Run);
    assert_eq!(calls.admit(call(2, 3), 1, None), Admission::Full);
    assert_eq!(calls.settle(call(2, 4), 1), Verdict::Forgotten);
}

#[test]
fn a_forgotten_key_never_runs() {
    let calls = small_calls();
    for number in 1..4 {
        let admission = calls.admit(call(1, number), 1, Some(key(number)));
        assert_eq!(admission, Admission::Run);
        calls.finish(call(1, number), 1, Some(key(number)), Some(answer(60)));
    }
    assert_eq!(
        calls.check_key(&key(1)),
        Some(Admission::Unknown),
        "forgotten"
    );
    assert_eq!(
        calls.check_key(&key(2)),
        Some(Admission::Unknown),
        "too large"
    );
    let last = calls.check_key(&key(3));
    assert!(matches!(last, Some(Admission::Answered(_))), "{last:?}");
    assert_eq!(calls.check_key(&key(4)), None);
}

#[test]
fn a_withdrawn_key_may_run_and_an_unissued_one_not() {
    let calls = small_calls();
    assert_eq!(calls.admit(call(1, 1), 1, Some(key(1))), Admission::Run);
    assert_eq!(calls.check_key(&key(1)), Some(Admission::Running));
    calls.withdraw(call(1, 1), 1, Some(key(1)));
    assert_eq!(calls.admit(call(1, 1), 2, Some(key(1))), Admission::Run);
    let issued = Key {
        digest: Digest([8, 8]),
        issued: true,
        ..key(1)
    };
    assert_eq!(calls.check_key(&issued), Some(Admission::Unknown));
    assert_eq!(calls.issue(), 1);
    assert_eq!(calls.check_key(&issued), None);
}
