//! Cuts a stream of server-sent events where one event ends.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

/// Collects bytes and hands out whole events, unchanged.
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
    /// Bytes not handed out yet.
    buffer: BytesMut,
    /// Bytes of it that hold no end of an event.
    searched_bytes: usize,
    /// Id of the last event that was handed out.
    last_id: Option<CompactString>,
    /// Events that were handed out last.
    taken_count: u32,
}

impl Splitter {
    /// Takes bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// All whole events, if there is one.
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

    /// Bytes behind the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched_bytes = 0;
        self.buffer.split().freeze()
    }

    /// Drops an event that was broken off.
    pub fn discard(&mut self) {
        self.searched_bytes = 0;
        self.buffer.clear();
    }

    /// Events with an id among those that were handed out last.
    pub fn taken_count(&self) -> u32 {
        self.taken_count
    }

    /// Id of the last event that was handed out.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Where the last event ends, behind its empty line.
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

/// How many ids there are among whole events, and the last one.
fn scan_ids(events: &[u8]) -> (u32, Option<&str>) {
    let lines = events.split(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let ids = ids.filter_map(|id| std::str::from_utf8(id).ok());
    ids.fold((0, None), |(count, _), id| (count + 1, Some(id.trim())))
}
