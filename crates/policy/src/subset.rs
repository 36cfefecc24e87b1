//! Rendezvous subsets: which of many members a chooser keeps to.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

/// A member that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member<'a, T> {
    /// What stands for it in the hash.
    pub key: T,
    /// Its failure domain.
    pub domain: &'a str,
}

/// The `count` members that `chooser` keeps to, those of its own failure
/// domain first. When a member comes or goes, at most one other changes.
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

/// Rank of a member for a chooser.
fn rank<T: Hash>(chooser: &str, key: T) -> u64 {
    let mut hasher = FxHasher::default();
    chooser.hash(&mut hasher);
    key.hash(&mut hasher);
    hasher
        .finish()
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(29)
}
