//! Boundaries of events in a stream of server-sent events.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use http::{header, HeaderMap};

use cranberryridge_policy::answer::{Disorder, Event, Place, Sequence};

use crate::body::Chunks;

/// Maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Number of buffered bytes above which a buffer is enlarged to its full size at once, as
/// doubling leaves freed memory of many sizes.
pub(crate) const MAX_SMALL_BUFFER_BYTES: usize = 4 * 1024;

/// Size of a large buffer, in bytes: an event and what is read beside it.
pub(crate) const BUFFER_BYTES: usize = MAX_EVENT_BYTES + 8 * 1024;

/// Appends bytes of an event to a buffer.
pub(crate) fn append(buffer: &mut BytesMut, bytes: &[u8]) {
    let needed = buffer.len() + bytes.len();
    if needed > MAX_SMALL_BUFFER_BYTES && needed > buffer.capacity() && needed <= BUFFER_BYTES {
        let old = std::mem::replace(buffer, BytesMut::with_capacity(BUFFER_BYTES));
        buffer.extend_from_slice(&old);
    }
    buffer.extend_from_slice(bytes);
}

/// Complete events that were taken from a buffer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The events that the caller lacks and what stands between them, unchanged.
    pub bytes: Bytes,
    /// Number of these events.
    pub event_count: u32,
    /// Whether there is a field, and not only comments and empty lines.
    pub has_field: bool,
    /// Reason why the stream must not go on after these events.
    pub disorder: Option<Disorder>,
}

/// Buffers bytes and returns complete events unchanged.
///
/// # Examples
///
/// ```
/// use cranberryridge::events::Splitter;
/// use cranberryridge_policy::answer::Sequence;
/// let (mut splitter, mut sequence) = (Splitter::default(), Sequence::default());
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// let batch = splitter.take_events(&mut sequence).unwrap();
/// assert_eq!(&batch.bytes[..], b"id: 1\ndata: a\n\n");
/// assert_eq!(sequence.last_id(), Some("1"));
/// assert!(splitter.take_events(&mut sequence).is_none());
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes that were not taken yet.
    buffer: BytesMut,
    /// Length of the prefix of `buffer` that contains no end of an event.
    searched_bytes: usize,
    /// First event id that was taken since the last [`Splitter::begin_run`].
    first_id: Option<CompactString>,
}

impl Splitter {
    /// Appends bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        append(&mut self.buffer, bytes);
    }

    /// Takes all complete events up to one that does not belong into the stream, or returns
    /// `None` if there is none.
    pub fn take_events(&mut self, sequence: &mut Sequence) -> Option<Batch> {
        let from = self.searched_bytes.saturating_sub(3);
        let Some(end) = find_last_end(&self.buffer[from..]) else {
            self.searched_bytes = self.buffer.len();
            return None;
        };
        let taken = self.buffer.split_to(from + end).freeze();
        self.searched_bytes = self.buffer.len();
        let mut batch = Batch::default();
        let (mut start, mut end) = (0, 0);
        while let Some(length) = find_first_end(&taken[end..]) {
            let block = &taken[end..end + length];
            match parse_event(block) {
                Some(event) => match sequence.admit(event) {
                    Ok(Place::Next) => {
                        batch.event_count += 1;
                        if let (Some(id), None) = (event.id, &self.first_id) {
                            self.first_id = Some(id.into());
                        }
                    }
                    // It comes before all events that are passed on.
                    Ok(Place::Repeated) => {
                        end += length;
                        start = end;
                        continue;
                    }
                    Err(disorder) => {
                        batch.disorder = Some(disorder);
                        break;
                    }
                },
                None if sequence.is_unproven() => start = end + length,
                None => {}
            }
            end += length;
            batch.has_field |= has_field(block);
        }
        if batch.disorder.is_none() {
            // Further empty lines may follow the last event.
            end = taken.len();
        }
        batch.bytes = taken.slice(start..end);
        Some(batch)
    }

    /// Returns whether the bytes after the last complete event belong to another
    /// one.
    pub fn is_inside_event(&self) -> bool {
        let mut scanner = Scanner::default();
        scanner.push(&self.buffer);
        scanner.is_inside_event()
    }

    /// Returns whether the bytes after the last complete event are more than an event has.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched_bytes = 0;
        self.buffer.split().freeze()
    }

    /// Begins another run of the stream, without the rest of the one before.
    pub fn begin_run(&mut self) {
        self.searched_bytes = 0;
        self.buffer.clear();
        self.first_id = None;
    }

    /// Returns the first event id that was taken from this run.
    pub fn first_id(&self) -> Option<&str> {
        self.first_id.as_deref()
    }
}

/// Follows a stream without buffering it, and tells whether it may end here. A
/// stream that ends inside an event, or without any, was broken off, however it is
/// framed.
///
/// # Examples
///
/// ```
/// use cranberryridge::events::Scanner;
/// let mut scanner = Scanner::default();
/// scanner.push(b": comment\n\n");
/// assert!(!scanner.has_event());
/// scanner.push(b"id: 1\ndata: a\n\n: comment\n");
/// assert!(scanner.has_event() && !scanner.is_inside_event());
/// scanner.push(b"id: 2\n");
/// assert!(scanner.is_inside_event());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Scanner {
    /// Whether a field of the current event has ended.
    has_field: bool,
    /// First byte of the current line, or `None` at its start.
    line_start: Option<u8>,
    /// First bytes of the current line, up to the end of a field's name.
    name: [u8; MAX_NAME_BYTES],
    /// Number of bytes in `name`, or `None` after its end.
    name_bytes: Option<usize>,
    /// Whether the current event has data or an id.
    has_content: bool,
    /// Whether an event has ended.
    has_event: bool,
}

/// Maximum length of a field's name that makes an event, in bytes.
const MAX_NAME_BYTES: usize = 4;

impl Scanner {
    /// Advances over the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match (byte, self.line_start) {
                (b'\n', Some(start)) => {
                    self.end_name();
                    self.has_field |= start != b':';
                    self.line_start = None;
                }
                (b'\n', None) => {
                    self.has_event |= self.has_content;
                    self.has_field = false;
                    self.has_content = false;
                }
                (b'\r', None) => {}
                (byte, None) => {
                    self.line_start = Some(*byte);
                    self.name_bytes = Some(0);
                    self.push_name(*byte);
                }
                (byte, Some(_)) => self.push_name(*byte),
            }
        }
    }

    /// Advances over a byte of a line that may belong to a field's name.
    fn push_name(&mut self, byte: u8) {
        let Some(count) = self.name_bytes else { return };
        if matches!(byte, b':' | b'\r') {
            self.end_name();
        } else if let Some(next) = self.name.get_mut(count) {
            *next = byte;
            self.name_bytes = Some(count + 1);
        } else {
            self.name_bytes = None;
        }
    }

    /// Ends the name of a field.
    fn end_name(&mut self) {
        let name = self.name_bytes.take().map(|count| &self.name[..count]);
        self.has_content |= name.is_some_and(|name| name == b"data" || name == b"id");
    }

    /// Returns whether an event has begun, and not only a comment.
    pub fn has_begun_event(&self) -> bool {
        self.has_event || self.has_field || self.line_start.is_some_and(|start| start != b':')
    }

    /// Returns whether an event has ended. Blocks with neither data nor an id are none.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns whether the last event, or a line between events, has not ended.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line_start.is_some()
    }
}

/// Returns whether the headers announce a stream of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let media = headers.get(header::CONTENT_TYPE);
    media.is_some_and(|media| {
        let media = media.as_bytes().split(|byte| *byte == b';').next();
        media.is_some_and(|media| {
            media
                .trim_ascii()
                .eq_ignore_ascii_case(b"text/event-stream")
        })
    })
}

/// Follows a whole body.
pub fn scan(body: &Chunks) -> Scanner {
    let mut scanner = Scanner::default();
    for chunk in body.iter() {
        scanner.push(chunk);
    }
    scanner
}

/// Returns the index after the empty line that ends the last event.
fn find_last_end(bytes: &[u8]) -> Option<usize> {
    (1..=bytes.len())
        .rev()
        .find(|end| is_event_end(&bytes[..*end]))
}

/// Returns the index after the empty line that ends the first event.
fn find_first_end(bytes: &[u8]) -> Option<usize> {
    (1..=bytes.len()).find(|end| is_event_end(&bytes[..*end]))
}

/// Returns whether the bytes end with an empty line.
fn is_event_end(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n")
}

/// Parses the lines up to an empty one. Returns `None` if they are no event.
fn parse_event(block: &[u8]) -> Option<Event<'_>> {
    let (mut is_event, mut id) = (false, None);
    for line in lines(block) {
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.unwrap_or(line.len()));
        match name {
            b"data" => is_event = true,
            b"id" => {
                is_event = true;
                id = std::str::from_utf8(value).ok();
            }
            _ => {}
        }
    }
    let id = id.map(|id| id.strip_prefix(':').unwrap_or(id).trim());
    // An empty id names no event.
    let id = id.filter(|id| !id.is_empty());
    is_event.then_some(Event { id })
}

/// Returns whether one of the lines is neither empty nor a comment.
fn has_field(block: &[u8]) -> bool {
    lines(block).any(|line| !matches!(line, [] | [b':', ..]))
}

/// Returns the lines without their ends.
fn lines(block: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = block.split(|byte| *byte == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}
