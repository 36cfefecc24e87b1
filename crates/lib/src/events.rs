//! Boundaries of events in a stream of server-sent events.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use http::{header, HeaderMap};

use crate::body::Chunks;

/// Maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Buffers bytes and returns complete events unchanged.
///
/// # Examples
///
/// ```
/// use cranberryridge::events::Splitter;
/// let mut splitter = Splitter::default();
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(splitter.take_events().as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
/// assert_eq!(splitter.last_id(), Some("1"));
/// assert!(splitter.take_events().is_none());
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes that were not taken yet.
    buffer: BytesMut,
    /// Length of the prefix of `buffer` that contains no end of an event.
    searched_bytes: usize,
    /// First event id that was taken since the last [`Splitter::begin_run`].
    first_id: Option<CompactString>,
    /// Last event id that was taken.
    last_id: Option<CompactString>,
    /// Number of events with an id that the last call took.
    taken_count: u32,
    /// Whether the last call took a field, and not only comments and empty lines.
    has_taken_field: bool,
}

impl Splitter {
    /// Appends bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes all complete events, or returns `None` if there is none.
    pub fn take_events(&mut self) -> Option<Bytes> {
        let from = self.searched_bytes.saturating_sub(3);
        let Some(end) = find_last_end(&self.buffer[from..]) else {
            self.searched_bytes = self.buffer.len();
            return None;
        };
        let events = self.buffer.split_to(from + end).freeze();
        self.searched_bytes = self.buffer.len();
        let (count, ids) = scan_ids(&events);
        self.taken_count = count;
        let mut lines = events.split(|byte| *byte == b'\n');
        self.has_taken_field = lines.any(|line| !matches!(line, [] | b"\r" | [b':', ..]));
        if let Some([first, last]) = ids {
            self.first_id.get_or_insert_with(|| first.into());
            self.last_id = Some(last.into());
        }
        Some(events)
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

    /// Discards an incomplete event.
    fn discard(&mut self) {
        self.searched_bytes = 0;
        self.buffer.clear();
    }

    /// Returns the number of events with an id that were taken last.
    pub fn taken_count(&self) -> u32 {
        self.taken_count
    }

    /// Returns whether what was taken last has a field, and not only comments and empty
    /// lines.
    pub fn has_taken_field(&self) -> bool {
        self.has_taken_field
    }

    /// Begins another run of the stream, without the rest of the one before.
    pub fn begin_run(&mut self) {
        self.discard();
        self.first_id = None;
    }

    /// Returns the first event id that was taken from this run.
    pub fn first_id(&self) -> Option<&str> {
        self.first_id.as_deref()
    }

    /// Returns the last event id that was taken.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
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
    let ends = (0..bytes.len()).rev();
    let is_end = |at: &usize| {
        let before = &bytes[..=*at];
        before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n")
    };
    ends.filter(|at| bytes[*at] == b'\n')
        .find(is_end)
        .map(|at| at + 1)
}

/// Returns the number of ids in complete events, and the first and the last id.
fn scan_ids(events: &[u8]) -> (u32, Option<[&str; 2]>) {
    let lines = events.split(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let ids = ids.filter_map(|id| std::str::from_utf8(id).ok());
    ids.fold((0, None), |(count, seen), id| {
        let id = id.trim();
        let first = seen.map_or(id, |[first, _]| first);
        (count + 1, Some([first, id]))
    })
}
