//! Sizes and load of deployments.

use super::engine::Versions;

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
