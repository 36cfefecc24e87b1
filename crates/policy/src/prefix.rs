//! Which prompts' beginnings are cached where, as far as an entry can know.
//!
//! Prompts are cut into blocks; a block's hash covers all up to its end. The
//! index learns from the entry's own choices. It may be wrong in both
//! directions: the engines forget without a word, and other entries send too.

use std::collections::VecDeque;
use std::hash::Hasher;

use rustc_hash::FxHasher;

use cranberryridge_wire::Map;

use crate::member::EndpointKey;

/// Bytes of text in a block.
const BLOCK_BYTES: usize = 1024;

/// Tokens in a block.
const BLOCK_TOKENS: u32 = 256;

/// Most blocks of one prompt that are looked at.
const MAX_PROMPT_BLOCKS: usize = 64;

/// Most blocks that are known.
const MAX_BLOCKS: usize = 32_768;

/// Most endpoints known for a block.
const MAX_HOLDERS: usize = 3;

/// Where blocks are cached.
#[derive(Debug, Default)]
pub struct Index {
    /// Endpoints by block, latest last.
    blocks: Map<u64, Vec<EndpointKey>>,
    /// Blocks, oldest first.
    order: VecDeque<u64>,
}

impl Index {
    /// Learns that an endpoint reads a prompt.
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

    /// Takes back what an endpoint turned out not to have.
    pub fn correct(&mut self, endpoint: EndpointKey, blocks: &[u64], cached: u32) {
        let found = (cached / BLOCK_TOKENS) as usize;
        for block in blocks.iter().skip(found) {
            if let Some(holders) = self.blocks.get_mut(block) {
                holders.retain(|holder| *holder != endpoint);
            }
        }
    }

    /// Tokens of a prompt's beginning that an endpoint should have cached.
    pub fn cached_tokens(&self, endpoint: EndpointKey, blocks: &[u64]) -> u32 {
        let is_held = |block: &&u64| {
            let holders = self.blocks.get(*block);
            holders.is_some_and(|holders| holders.contains(&endpoint))
        };
        blocks.iter().take_while(is_held).count() as u32 * BLOCK_TOKENS
    }

    /// Endpoints that should have a prompt's first block.
    pub fn holders(&self, blocks: &[u64]) -> &[EndpointKey] {
        let first = blocks.first().and_then(|block| self.blocks.get(block));
        first.map_or(&[], Vec::as_slice)
    }
}

/// Hashes of a prompt's blocks, from its beginning.
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
