//! Tests of events that are split and passed on.

use cranberryridge::events::Splitter;
use cranberryridge_policy::answer::{Event, Sequence};

/// Wherever a stream is cut into reads, all of its bytes are passed on.
#[test]
fn no_byte_of_a_stream_is_lost() {
    let stream = b": a\n\n\nid: 1\ndata: a\n\n\n\nid: 2\r\ndata: b\r\n\r\n\r\nid: 3\ndata: c\n\n\n";
    for first in 0..=stream.len() {
        for second in first..=stream.len() {
            let (mut splitter, mut sequence) = (Splitter::default(), Sequence::default());
            let mut passed = Vec::new();
            for part in [&stream[..first], &stream[first..second], &stream[second..]] {
                splitter.push(part);
                if let Some(batch) = splitter.take_events(&mut sequence) {
                    passed.extend_from_slice(&batch.bytes);
                }
            }
            passed.extend_from_slice(&splitter.take_rest());
            assert_eq!(passed, stream, "cut at {first} and {second}");
            assert_eq!(sequence.last_id(), Some("3"));
        }
    }
}

// Guards against a repeated event that reaches the caller twice, at any cut of the bytes.
#[test]
fn an_event_that_a_check_repeats_is_dropped() {
    let text = b": a\n\nretry: 1\n\nid: 2\ndata: b\n\n: c\n\nid: 3\ndata: c\n\n";
    for cut in 0..=text.len() {
        let mut sequence = Sequence::after("1");
        sequence.admit(Event { id: Some("2") }).unwrap();
        sequence.begin_check();
        let mut splitter = Splitter::default();
        let (mut passed, mut count) = (Vec::new(), 0);
        for piece in [&text[..cut], &text[cut..]] {
            splitter.push(piece);
            let batch = splitter.take_events(&mut sequence).unwrap_or_default();
            assert_eq!(batch.disorder, None, "cut at {cut}");
            passed.extend_from_slice(&batch.bytes);
            count += batch.event_count;
        }
        assert_eq!(count, 1, "cut at {cut}");
        assert_eq!(splitter.first_id(), Some("3"), "cut at {cut}");
        assert_eq!(passed, b": c\n\nid: 3\ndata: c\n\n", "cut at {cut}");
    }
}
