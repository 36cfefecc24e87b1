//! Decoding of frames with arbitrary and malicious contents.

use bytes::BytesMut;

use cranberryridge_wire::codec::{self, Error, MAX_FRAME_BYTES};
use cranberryridge_wire::message::{Down, Up};

/// Prepends the matching length prefix to some bytes.
fn with_length_prefix(bytes: &[u8]) -> BytesMut {
    let length = u32::try_from(bytes.len()).unwrap();
    let mut frame = BytesMut::from(&length.to_le_bytes()[..]);
    frame.extend_from_slice(bytes);
    frame
}

#[test]
fn arbitrary_bytes_are_decoded_or_rejected() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let mut raw = BytesMut::from(bytes);
        let before = raw.len();
        if let Ok(None) = codec::decode::<Up>(&mut raw) {
            // An incomplete frame stays in the buffer unchanged.
            assert_eq!(raw, bytes);
        }
        assert!(raw.len() <= before);

        let mut frame = with_length_prefix(bytes);
        match codec::decode::<Up>(&mut frame) {
            Ok(message) => {
                let message = message.expect("the frame is complete");
                let mut encoded = BytesMut::from(&codec::encode(&message).unwrap()[..]);
                let decoded = codec::decode::<Up>(&mut encoded).unwrap();
                assert_eq!(decoded, Some(message));
            }
            Err(Error::Decode(_) | Error::Trailing(_)) => {}
            Err(error) => panic!("{error}"),
        }
        assert!(frame.is_empty());
        let _ = codec::decode::<Down>(&mut with_length_prefix(bytes));
    });
}

#[test]
fn an_oversized_frame_is_rejected_by_its_length_prefix() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).unwrap();
    let mut buffer = BytesMut::from(&length.to_le_bytes()[..]);
    let result = codec::decode::<Up>(&mut buffer);
    assert!(matches!(result, Err(Error::TooLarge(size)) if size == MAX_FRAME_BYTES + 1));
}

#[test]
fn an_inner_length_beyond_the_frame_is_rejected() {
    // A heartbeat with sequence number 0 whose list declares far more items than
    // the frame has bytes. The decoder must not allocate for that length.
    let bytes = [1, 0, 252, 255, 255, 255, 255];
    let result = codec::decode::<Up>(&mut with_length_prefix(&bytes));
    assert!(matches!(result, Err(Error::Decode(_))), "{result:?}");
}
