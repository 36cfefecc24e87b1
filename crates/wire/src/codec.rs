//! Frames: bincode behind a length of four bytes.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::{Buf, BytesMut};
use serde::{de::DeserializeOwned, Serialize};

/// Largest frame taken, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Bytes of the length before each frame.
const PREFIX_BYTES: usize = 4;

/// The codec's settings; the limit bounds what a frame may make us allocate.
const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_FRAME_BYTES>> =
    bincode::config::standard()
        .with_little_endian()
        .with_variable_int_encoding()
        .with_limit::<MAX_FRAME_BYTES>();

/// Why a frame was refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes is over the limit")]
    TooLarge(usize),
    /// The frame does not hold the message that was expected.
    #[error("frame not understood: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// The message cannot be encoded.
    #[error("message not encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// Bytes are left over behind the message.
    #[error("{0} bytes behind the message")]
    Trailing(usize),
}

/// Encodes a message with its length.
///
/// # Errors
///
/// [`Error::TooLarge`] when the message is over the limit.
///
/// # Examples
///
/// ```
/// use bytes::BytesMut;
/// use cranberryridge_wire::{codec, message};
/// let mut buffer = BytesMut::new();
/// let verdict = message::Verdict::Barred;
/// buffer.extend_from_slice(&codec::encode(&verdict).unwrap());
/// let read = codec::decode::<message::Verdict>(&mut buffer).unwrap();
/// assert_eq!(read, Some(verdict));
/// ```
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let mut frame = vec![0; PREFIX_BYTES];
    let size = bincode::serde::encode_into_std_write(message, &mut frame, CONFIG)?;
    let Ok(length) = u32::try_from(size) else {
        return Err(Error::TooLarge(size));
    };
    if size > MAX_FRAME_BYTES {
        return Err(Error::TooLarge(size));
    }
    frame[..PREFIX_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(frame)
}

/// Takes one message off a buffer, or `None` while it is not whole.
///
/// # Errors
///
/// When the frame is too large or not understood; the stream it came on is
/// of no more use then.
pub fn decode<T: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>, Error> {
    decode_within(buffer, MAX_FRAME_BYTES)
}

/// Takes one message of at most `limit` bytes off a buffer, or `None` while it
/// is not whole.
///
/// # Errors
///
/// As [`decode`].
///
/// # Examples
///
/// ```
/// use bytes::BytesMut;
/// use cranberryridge_wire::codec;
/// let mut buffer = BytesMut::from(&codec::encode(&"a long text").unwrap()[..]);
/// assert!(codec::decode_within::<String>(&mut buffer, 5).is_err());
/// ```
pub fn decode_within<T: DeserializeOwned>(
    buffer: &mut BytesMut,
    limit: usize,
) -> Result<Option<T>, Error> {
    let Some(prefix) = buffer.first_chunk::<PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*prefix) as usize;
    if length > limit {
        return Err(Error::TooLarge(length));
    }
    if buffer.len() < PREFIX_BYTES + length {
        return Ok(None);
    }

    buffer.advance(PREFIX_BYTES);
    let frame = buffer.split_to(length);
    let (message, read) = bincode::serde::decode_from_slice(&frame, CONFIG)?;
    if read < length {
        return Err(Error::Trailing(length - read));
    }
    Ok(Some(message))
}
