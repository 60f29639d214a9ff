//! What a store costs: commits by their size with and without a sync, and how long it takes to come back.

use std::path::Path;
use std::time::{Duration, Instant};

use linestack_store::{Folder, Limits, Op, OpenMode, Store, StoreError};
use serde::Serialize;

/// Commits of one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Commits {
    pub sync: bool,
    pub batch: usize,
    pub records_per_s: f64,
    pub median_us: f64,
    pub p99_us: f64,
    /// Bytes written for each byte given.
    pub amplification: f64,
}

/// Coming back to so many records.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Back {
    pub records: usize,
    pub bytes: u64,
    pub from_checkpoint_s: f64,
    pub without_s: f64,
    /// Of the process, for the index alone.
    pub index_bytes: u64,
}

fn op(number: u64, value: usize) -> Op {
    let key = format!("{number:016x}-key").into_bytes();
    Op::Put { kind: 1, key, value: vec![1; value], at: number }
}

fn limits(sync: bool, max_uncovered_segments: usize) -> Limits {
    Limits { segment_size: 16 << 20, budget: 1 << 40, sync, max_uncovered_segments, ..Limits::default() }
}

fn open(folder: &Path, limits: Limits, mode: OpenMode) -> Result<Store<Folder>, StoreError> {
    Store::open(Folder::open(folder)?, limits, mode, 1)
}

/// Commits for `span`, each of `batch` records.
///
/// # Errors
///
/// The disk's.
pub fn commits(folder: &Path, sync: bool, batch: usize, span: Duration) -> Result<Commits, StoreError> {
    let mut store = open(folder, limits(sync, 8), OpenMode::Create)?;
    let (begin, mut number, mut times) = (Instant::now(), 0, Vec::new());
    while begin.elapsed() < span {
        let ops: Vec<Op> = (0..batch as u64).map(|i| op(number + i, 24)).collect();
        let at = Instant::now();
        store.commit(&ops, 0)?;
        times.push(at.elapsed().as_secs_f64() * 1e6);
        number += batch as u64;
    }
    let took = begin.elapsed().as_secs_f64();
    times.sort_by(f64::total_cmp);
    let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
    let stats = store.stats();
    Ok(Commits {
        sync,
        batch,
        records_per_s: number as f64 / took,
        median_us: at(0.5),
        p99_us: at(0.99),
        amplification: stats.written_bytes as f64 / stats.committed_bytes.max(1) as f64,
    })
}

/// Bytes of this process that are in memory.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * 4096
}

/// Fills a store and opens it again, from a checkpoint and without one.
///
/// # Errors
///
/// The disk's.
pub fn back(folder: &Path, records: usize) -> Result<Back, StoreError> {
    let mut store = open(folder, limits(false, usize::MAX - 1), OpenMode::Create)?;
    let mut number = 0;
    while number < records as u64 {
        let ops: Vec<Op> = (number..(number + 512).min(records as u64)).map(|i| op(i, 24)).collect();
        store.commit(&ops, 0)?;
        number += ops.len() as u64;
    }
    let bytes = store.stats().bytes;
    drop(store);
    let timed = || -> Result<(f64, Store<Folder>, u64), StoreError> {
        let (before, at) = (resident(), Instant::now());
        let store = open(folder, limits(false, usize::MAX - 1), OpenMode::Existing)?;
        Ok((at.elapsed().as_secs_f64(), store, resident().saturating_sub(before)))
    };
    let (without_s, mut store, index_bytes) = timed()?;
    store.checkpoint()?;
    drop(store);
    let (from_checkpoint_s, store, _) = timed()?;
    assert_eq!(store.stats().records, records);
    Ok(Back { records, bytes, from_checkpoint_s, without_s, index_bytes })
}
