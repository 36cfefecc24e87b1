//! Tests of events that are split and passed on.

use cranberryridge::events::Splitter;
use cranberryridge_policy::answer::Sequence;

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
