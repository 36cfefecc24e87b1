//! An entry's index of the prompt prefixes that endpoints have cached.
//!
//! A prompt is split into blocks; the hash of a block covers the whole prompt up to the
//! block's end. The index learns from the entry's own choices and may be wrong in both
//! directions: engines evict without notice, and other entries send prompts too.

use std::collections::VecDeque;
use std::hash::Hasher;

use rustc_hash::FxHasher;

use cranberryridge_wire::Map;

use crate::member::EndpointKey;

const BLOCK_BYTES: usize = 1024;

/// Assumed number of tokens in a block.
const BLOCK_TOKENS: u32 = 256;

/// Maximum number of blocks of one prompt that are hashed.
const MAX_PROMPT_BLOCKS: usize = 64;

/// Maximum number of blocks in the index.
const MAX_BLOCKS: usize = 32_768;

/// Maximum number of endpoints for each block.
const MAX_HOLDERS: usize = 3;

/// Endpoints by cached block.
#[derive(Debug, Default)]
pub struct Index {
    /// Endpoints by block hash, the most recent last.
    blocks: Map<u64, Vec<EndpointKey>>,
    /// Keys of `blocks`, oldest first.
    order: VecDeque<u64>,
}

impl Index {
    /// Records that an endpoint reads a prompt and will have it cached.
    pub fn record(&mut self, endpoint: EndpointKey, blocks: &[u64]) {
        for block in blocks {
            let known = self.blocks.contains_key(block);
            let holders = self.blocks.entry(*block).or_default();
            holders.retain(|holder| *holder != endpoint);
            if holders.len() == MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push(endpoint);
            if !known {
                self.order.push_back(*block);
            }
        }
        while self.order.len() > MAX_BLOCKS {
            let oldest = self.order.pop_front();
            oldest.map(|oldest| self.blocks.remove(&oldest));
        }
    }

    /// Removes an endpoint from the blocks beyond the `cached` tokens that it reported.
    pub fn correct(&mut self, endpoint: EndpointKey, blocks: &[u64], cached: u32) {
        let found = (cached / BLOCK_TOKENS) as usize;
        for block in blocks.iter().skip(found) {
            if let Some(holders) = self.blocks.get_mut(block) {
                holders.retain(|holder| *holder != endpoint);
            }
        }
    }

    /// Predicts how many leading tokens of a prompt an endpoint has cached.
    pub fn cached_tokens(&self, endpoint: EndpointKey, blocks: &[u64]) -> u32 {
        let is_held = |block: &&u64| {
            let holders = self.blocks.get(*block);
            holders.is_some_and(|holders| holders.contains(&endpoint))
        };
        blocks.iter().take_while(is_held).count() as u32 * BLOCK_TOKENS
    }

    /// Endpoints that probably have a prompt's first block cached, the most recent last.
    pub fn holders(&self, blocks: &[u64]) -> &[EndpointKey] {
        let first = blocks.first().and_then(|block| self.blocks.get(block));
        first.map_or(&[], Vec::as_slice)
    }
}

/// Hashes the blocks of a prompt from its start; an incomplete last block is left out.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::prefix::hash_blocks;
/// let (a, b) = (vec![7; 2048], vec![7; 3000]);
/// assert_eq!(hash_blocks(&a), hash_blocks(&b));
/// assert!(hash_blocks(b"short").is_empty());
/// ```
pub fn hash_blocks(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = FxHasher::default();
    let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_PROMPT_BLOCKS);
    blocks
        .map(|block| {
            hasher.write(block);
            hasher.finish()
        })
        .collect()
}
