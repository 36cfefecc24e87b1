//! Measurement of memory, encoded sizes and processor time.

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use serde::Serialize;

use cranberryridge_wire::codec;

/// Number of items built at once to measure their memory.
pub const SAMPLE_SIZE: usize = 100_000;

/// Number of timed batches; the fastest one counts.
const BATCH_COUNT: usize = 7;

/// Measures the resident memory per item of a value with [`SAMPLE_SIZE`] items.
pub fn measure_resident_bytes<T>(build: impl FnOnce() -> T) -> Result<f64> {
    let before = read_resident_bytes()?;
    let built = build();
    let after = read_resident_bytes()?;
    // The value is leaked so that the next measurement allocates fresh pages.
    std::mem::forget(black_box(built));
    Ok(after.saturating_sub(before) as f64 / SAMPLE_SIZE as f64)
}

/// Reads the resident memory of this process.
fn read_resident_bytes() -> Result<u64> {
    /// Size of a memory page.
    const PAGE_BYTES: u64 = 4096;
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split(' ')
        .nth(1)
        .context("/proc/self/statm has no resident size")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

/// Measures the mean time of one run in the fastest batch.
pub fn measure_seconds(runs: usize, mut run: impl FnMut(usize)) -> f64 {
    let mut best = Duration::MAX;
    for _ in 0..BATCH_COUNT {
        let started = Instant::now();
        (0..runs).for_each(&mut run);
        best = best.min(started.elapsed());
    }
    best.as_secs_f64() / runs as f64
}

/// Size of a message's frame.
pub fn frame_bytes<T: Serialize>(message: &T) -> Result<f64> {
    Ok(codec::encode(message)?.len() as f64)
}

/// Size of a record as JSON.
pub fn json_bytes<T: Serialize>(record: &T) -> Result<f64> {
    Ok(serde_json::to_vec(record)?.len() as f64)
}
