//! Eras of the platform's store.
//!
//! The store may come back from an older copy of itself. It then lacks records
//! that it had acknowledged, and assigns their offsets to other records. Each
//! such return begins a new era, so an offset identifies a record only together
//! with its era.

/// Number of a store's era. Rises by one with each return from an older copy.
/// Zero if the store names none.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::gateway::era::Era;
/// // The copy lacks offsets 40 and above and assigns 10 to 39 a second time.
/// assert!(Era(2).fencing_token(10) > Era(1).fencing_token(40));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

/// Bits of a fencing token that hold the offset. Together with as many eras as
/// a store can have in years, a token stays below 2^53 and so is exact in JSON.
const OFFSET_BITS: u32 = 32;

impl Era {
    /// Returns the fencing token of a claim that was recorded at an offset in
    /// this era. A later claim has a higher token, also in a later era.
    pub fn fencing_token(self, offset: u64) -> u64 {
        let offset = offset.saturating_add(1).min((1 << OFFSET_BITS) - 1);
        (self.0 << OFFSET_BITS) + offset
    }
}
