//! Sizes and load of deployments.

/// Software versions of the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Versions {
    /// All engines have the same one.
    One,
    /// Two serve side by side.
    Mixed,
    /// Each start of an engine has a new one.
    Release,
}

impl Versions {
    /// Returns the setting with a name. An empty one stands for one version.
    pub fn parse(name: &str) -> Self {
        match name {
            "" => Self::One,
            "mixed" => Self::Mixed,
            "release" => Self::Release,
            _ => panic!("{name} is no setting of versions, but mixed and release are"),
        }
    }

    /// Returns the version of a start of an engine. Each version of a mixture has engines of
    /// both stages.
    pub fn name(self, index: usize, born: u64) -> String {
        match self {
            Self::One => "v1".into(),
            Self::Mixed => format!("v{}", 1 + index / 3 % 2),
            Self::Release => format!("v{born}"),
        }
    }
}

/// Size and load of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in reports.
    pub name: &'static str,
    /// Number of entry hosts.
    pub hosts: u8,
    /// Memory of an entry host, in megabytes.
    pub memory_mb: u32,
    /// Number of engines, of which a third read prompts.
    pub engines: u8,
    /// Streams that begin in a second.
    pub streams_per_second: f64,
    /// Mean number of pieces of a stream.
    pub mean_pieces: u32,
    /// Time between two pieces, in milliseconds.
    pub piece_ms: u64,
    /// Whether each host reaches the store through a [`super::link::Link`] of its own.
    pub has_links: bool,
    /// Whether each engine is reached through a link.
    pub has_engine_links: bool,
    /// Number of the engines of another service, which are the last ones.
    pub other_engines: u8,
    /// One engine in this many has the same id after a restart, or `None` if no engine does.
    pub kept_id_share: Option<usize>,
    /// Software versions of the engines.
    pub versions: Versions,
}

/// Loan underwriting on four hosts.
pub const LIPOWA: Deployment = Deployment {
    name: "lipowa",
    hosts: 4,
    memory_mb: 110,
    engines: 18,
    streams_per_second: 18.2,
    mean_pieces: 67,
    piece_ms: 47,
    has_links: false,
    has_engine_links: false,
    other_engines: 0,
    kept_id_share: None,
    versions: Versions::One,
};

/// An order desk on five hosts.
pub const SAHEL_TUBES: Deployment = Deployment {
    name: "sahel-tubes",
    hosts: 5,
    memory_mb: 260,
    mean_pieces: 69,
    piece_ms: 40,
    ..LIPOWA
};

/// Loan underwriting on 27 hosts.
pub const LIPOWA_GROWN: Deployment = Deployment {
    name: "lipowa-grown",
    hosts: 27,
    engines: 49,
    streams_per_second: 50.6,
    ..LIPOWA
};

/// All deployments.
pub const ALL: [Deployment; 3] = [LIPOWA, SAHEL_TUBES, LIPOWA_GROWN];
