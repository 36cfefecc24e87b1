//! What a caller got of a stream of [`Runner`](crate::runner::Runner), over all its tries.

/// Id of what is no event of a runner, whose ids begin with 1.
const UNORDERED: u32 = 0;

/// Events of a stream that a caller may take up several times.
///
/// # Examples
///
/// ```
/// use cranberryridge_standin::transcript::Transcript;
/// let mut transcript = Transcript::default();
/// transcript.push(b"id: 1\ndata: token-1 v1\n\nid: 2\nda");
/// transcript.begin_try();
/// transcript.push(b"id: 2\ndata: token-2 v2\n\n");
/// assert_eq!(transcript.last_id(), Some(2));
/// assert!(transcript.ids().eq([1, 2]));
/// assert_eq!(transcript.texts()[1], "id: 2\ndata: token-2 v2\n\n");
/// assert_eq!(transcript.rest(), "");
/// assert!(transcript.is_in_order());
/// assert!(transcript.is_mixed());
/// transcript.push(b"no event\n\n");
/// assert!(!transcript.is_in_order());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Transcript {
    /// Ids of the events, and the versions that made them.
    events: Vec<(u32, String)>,
    /// Text of each event with the empty line behind it.
    texts: Vec<String>,
    /// Bytes of the current try after its last complete event.
    rest: String,
}

impl Transcript {
    /// Forgets the incomplete event with which the last try ended.
    pub fn begin_try(&mut self) {
        self.rest.clear();
    }

    /// Adds a piece of an answer, which holds events of a runner that names its version. Other
    /// text with an empty line after it counts as an event without a place in the order.
    pub fn push(&mut self, piece: &[u8]) {
        self.rest.push_str(&String::from_utf8_lossy(piece));
        while let Some((event, rest)) = self.rest.split_once("\n\n") {
            let id = event.lines().next().and_then(|id| id.strip_prefix("id: "));
            let id = id.and_then(|id| id.parse().ok()).unwrap_or(UNORDERED);
            let version = event.rsplit(' ').next().unwrap_or_default();
            self.events.push((id, version.into()));
            self.texts.push(format!("{event}\n\n"));
            self.rest = rest.into();
        }
    }

    /// Returns the text of each complete event with the empty line behind it.
    pub fn texts(&self) -> &[String] {
        &self.texts
    }

    /// Returns the bytes of the current try after its last complete event.
    pub fn rest(&self) -> &str {
        &self.rest
    }

    /// Returns the number of complete events.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns whether there is no complete event.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the id of the last event.
    pub fn last_id(&self) -> Option<u32> {
        self.events.last().map(|(id, _)| *id)
    }

    /// Returns the ids of the events as they arrived. What is no event of a runner has 0.
    pub fn ids(&self) -> impl Iterator<Item = u32> + '_ {
        self.events.iter().map(|(id, _)| *id)
    }

    /// Returns the version that made the first event.
    pub fn version(&self) -> Option<&str> {
        self.events.first().map(|(_, version)| version.as_str())
    }

    /// Returns whether events of several versions arrived.
    pub fn is_mixed(&self) -> bool {
        let mut versions = self.events.iter().map(|(_, version)| version.as_str());
        versions.any(|version| Some(version) != self.version())
    }

    /// Returns whether each event up to the last one arrived once and in order.
    pub fn is_in_order(&self) -> bool {
        let ids = self.events.iter().map(|(id, _)| *id);
        ids.eq((1..).take(self.events.len()))
    }
}
