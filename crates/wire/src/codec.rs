//! Message framing: a four-byte little-endian length prefix and a bincode payload.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::{Buf, BytesMut};
use serde::{de::DeserializeOwned, Serialize};

/// Largest payload that is encoded or decoded, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Size of the length prefix, in bytes.
const PREFIX_BYTES: usize = 4;

/// Bincode configuration. The limit bounds how much memory a received frame can
/// cause the decoder to allocate.
const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_FRAME_BYTES>> =
    bincode::config::standard()
        .with_little_endian()
        .with_variable_int_encoding()
        .with_limit::<MAX_FRAME_BYTES>();

/// Why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame, of this size in bytes, exceeds [`MAX_FRAME_BYTES`] or the
    /// limit given to [`decode_within`].
    #[error("frame of {0} bytes exceeds the size limit")]
    TooLarge(usize),
    /// The payload is not a valid encoding of the expected message type.
    #[error("cannot decode frame: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// Bincode cannot represent the message.
    #[error("cannot encode message: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// This many bytes of the frame follow the message.
    #[error("{0} trailing bytes after the message")]
    Trailing(usize),
}

/// Encodes a message as a frame with its length prefix.
///
/// # Errors
///
/// [`Error::TooLarge`] if the payload exceeds [`MAX_FRAME_BYTES`],
/// [`Error::Encode`] if bincode rejects the message.
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

/// Decodes and removes one message from the front of a buffer.
///
/// Returns `None`, and leaves the buffer as it is, until a whole frame has
/// arrived.
///
/// # Errors
///
/// If the frame is too large or malformed. After such an error, the stream that
/// the frame came from cannot be read any further.
pub fn decode<T: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>, Error> {
    decode_within(buffer, MAX_FRAME_BYTES)
}

/// Decodes like [`decode`], but rejects frames of more than `limit` bytes.
///
/// # Errors
///
/// See [`decode`].
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
