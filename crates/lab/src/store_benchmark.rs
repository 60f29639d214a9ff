//! Benchmark of the record store: cost of commits by batch size, with and without a sync, and time to reopen a store.

use std::path::Path;
use std::time::{Duration, Instant};

use linestack_store::{Folder, Limits, Op, OpenMode, Store, StoreError};
use serde::Serialize;

/// Size of each record's value in bytes.
const VALUE_BYTES: usize = 24;
/// Records in each commit while a store is filled for the reopen measurement.
const FILL_BATCH: u64 = 512;
/// Prevents checkpoints on commit, so that the first reopen reads every record back.
const NO_CHECKPOINT: usize = usize::MAX - 1;
/// Page size in which `/proc/self/statm` counts.
const PAGE_BYTES: u64 = 4096;

/// Cost of commits of one batch size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CommitCost {
    /// Whether each commit was synced to disk.
    pub sync: bool,
    /// Records in each commit.
    pub batch: usize,
    pub records_per_s: f64,
    /// Median duration of a commit.
    pub median_us: f64,
    /// 99th percentile of the duration of a commit.
    pub p99_us: f64,
    /// Bytes written to disk for each byte committed.
    pub amplification: f64,
}

/// Cost of reopening a store.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ReopenCost {
    /// Records in the store.
    pub records: usize,
    /// Size of the store on disk.
    pub bytes: u64,
    /// Duration of the reopen with a checkpoint of all records.
    pub from_checkpoint_s: f64,
    /// Duration of the reopen without a checkpoint.
    #[serde(rename = "without_s")]
    pub without_checkpoint_s: f64,
    /// Growth of the resident memory of this process during the reopen without a checkpoint: the store's index.
    pub index_bytes: u64,
}

fn put(number: u64, value_bytes: usize) -> Op {
    let key = format!("{number:016x}-key").into_bytes();
    Op::Put { kind: 1, key, value: vec![1; value_bytes], at: number }
}

fn limits(sync: bool, max_uncovered_segments: usize) -> Limits {
    Limits { segment_size: 16 << 20, budget: 1 << 40, sync, max_uncovered_segments, ..Limits::default() }
}

fn open(folder: &Path, limits: Limits, mode: OpenMode) -> Result<Store<Folder>, StoreError> {
    Store::open(Folder::open(folder)?, limits, mode, 1)
}

/// Commits batches of `batch` records to a new store in `folder` for the duration `span`.
///
/// # Errors
///
/// Returns an error if the store cannot be created or written.
pub fn measure_commits(
    folder: &Path,
    sync: bool,
    batch: usize,
    span: Duration,
) -> Result<CommitCost, StoreError> {
    let mut store = open(folder, limits(sync, 8), OpenMode::Create)?;
    let (begin, mut number, mut times_us) = (Instant::now(), 0, Vec::new());
    while begin.elapsed() < span {
        let ops: Vec<Op> = (0..batch as u64).map(|i| put(number + i, VALUE_BYTES)).collect();
        let commit_begin = Instant::now();
        store.commit(&ops, 0)?;
        times_us.push(commit_begin.elapsed().as_secs_f64() * 1e6);
        number += batch as u64;
    }
    let elapsed_s = begin.elapsed().as_secs_f64();
    times_us.sort_by(f64::total_cmp);
    let quantile = |q: f64| times_us[((times_us.len() - 1) as f64 * q) as usize];
    let stats = store.stats();
    Ok(CommitCost {
        sync,
        batch,
        records_per_s: number as f64 / elapsed_s,
        median_us: quantile(0.5),
        p99_us: quantile(0.99),
        amplification: stats.written_bytes as f64 / stats.committed_bytes.max(1) as f64,
    })
}

/// Returns the resident memory of this process in bytes, or 0 if `/proc` cannot be read.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Fills a new store in `folder` and reopens it, first without a checkpoint and then with one.
///
/// # Errors
///
/// Returns an error if the store cannot be created, written or reopened.
pub fn measure_reopen(folder: &Path, records: usize) -> Result<ReopenCost, StoreError> {
    let mut store = open(folder, limits(false, NO_CHECKPOINT), OpenMode::Create)?;
    let mut number = 0;
    while number < records as u64 {
        let end = (number + FILL_BATCH).min(records as u64);
        let ops: Vec<Op> = (number..end).map(|i| put(i, VALUE_BYTES)).collect();
        store.commit(&ops, 0)?;
        number += ops.len() as u64;
    }
    let bytes = store.stats().bytes;
    drop(store);
    let timed_open = || -> Result<(f64, Store<Folder>, u64), StoreError> {
        let (before, begin) = (resident_bytes(), Instant::now());
        let store = open(folder, limits(false, NO_CHECKPOINT), OpenMode::Existing)?;
        Ok((begin.elapsed().as_secs_f64(), store, resident_bytes().saturating_sub(before)))
    };
    let (without_checkpoint_s, mut store, index_bytes) = timed_open()?;
    store.checkpoint()?;
    drop(store);
    let (from_checkpoint_s, store, _) = timed_open()?;
    assert_eq!(store.stats().records, records);
    Ok(ReopenCost { records, bytes, from_checkpoint_s, without_checkpoint_s, index_bytes })
}
