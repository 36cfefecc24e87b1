//! Rendezvous hashing: the stable subset of members that a chooser uses.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

/// A member that can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member<'a, T> {
    /// Key that identifies the member in the hash.
    pub key: T,
    /// Failure domain of the member.
    pub domain: &'a str,
}

/// Chooses `count` members for `chooser`, preferring those of its own failure domain.
/// When a member is added or removed, at most one other member of the subset changes.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::subset::{choose, Member};
/// let members = (0..100u32).map(|key| Member { key, domain: "sfax" }).collect::<Vec<_>>();
/// let chosen = choose("entry-1", "sfax", &members, 8);
/// assert_eq!(chosen.len(), 8);
/// assert_eq!(chosen, choose("entry-1", "sfax", &members, 8));
/// ```
pub fn choose<T: Copy + Hash + Ord>(
    chooser: &str,
    domain: &str,
    members: &[Member<'_, T>],
    count: usize,
) -> Vec<T> {
    let ranked = members.iter().map(|member| {
        let is_remote = member.domain != domain;
        (is_remote, rank(chooser, member.key), member.key)
    });
    let mut ranked = ranked.collect::<Vec<_>>();
    if count < ranked.len() {
        ranked.select_nth_unstable(count);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, key)| key).collect()
}

/// Pseudorandom rank of a member for a chooser.
fn rank<T: Hash>(chooser: &str, key: T) -> u64 {
    let mut hasher = FxHasher::default();
    chooser.hash(&mut hasher);
    key.hash(&mut hasher);
    hasher
        .finish()
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(29)
}
