//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

/// Buffers bytes and returns complete events unchanged.
///
/// # Examples
///
/// ```
/// use cranberryridge::gateway::events::Splitter;
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
    /// Last event id that was taken.
    last_id: Option<CompactString>,
    /// Number of events with an id that the last call took.
    taken_count: u32,
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
        let (count, id) = scan_ids(&events);
        self.taken_count = count;
        if let Some(id) = id {
            self.last_id = Some(id.into());
        }
        Some(events)
    }

    /// Returns whether the bytes after the last complete event belong to another
    /// one. Blank lines and complete comments do not.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge::gateway::events::Splitter;
    /// let mut splitter = Splitter::default();
    /// splitter.push(b": comment\n");
    /// assert!(!splitter.is_inside_event());
    /// splitter.push(b"id: 1\n");
    /// assert!(splitter.is_inside_event());
    /// ```
    pub fn is_inside_event(&self) -> bool {
        let mut lines = self.buffer.split_inclusive(|byte| *byte == b'\n');
        lines.any(|line| {
            let is_blank = matches!(line, b"\n" | b"\r\n");
            let is_comment = line.starts_with(b":") && line.ends_with(b"\n");
            !is_blank && !is_comment
        })
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
    pub fn discard(&mut self) {
        self.searched_bytes = 0;
        self.buffer.clear();
    }

    /// Returns the number of events with an id that were taken last.
    pub fn taken_count(&self) -> u32 {
        self.taken_count
    }

    /// Returns the last event id that was taken.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
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

/// Returns the number of ids in complete events and the last id.
fn scan_ids(events: &[u8]) -> (u32, Option<&str>) {
    let lines = events.split(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let ids = ids.filter_map(|id| std::str::from_utf8(id).ok());
    ids.fold((0, None), |(count, _), id| (count + 1, Some(id.trim())))
}
