//! The store: what is where, and in which order things are written.

use std::collections::HashMap;

use crate::disk::Disk;
use crate::form::{
    ALIGN, Fault, Found, LARGEST, Manifest, Record, SEGMENT_HEAD, damaged, decode, decode_manifest, encode,
    encode_manifest, read_segment_head, segment_head, size,
};

const MANIFEST: &str = "manifest";
const MANIFEST_NEW: &str = "manifest.new";
const CHECKPOINT: &str = "checkpoint";

/// How large a store may be, and what it may forget.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of a segment.
    pub segment: u64,
    /// Bytes of all segments; from there on the oldest is cleaned before anything is added.
    pub budget: u64,
    /// By kind: how long after its time a record is kept, in its time's unit; kinds that are not named for ever.
    pub spans: Vec<(u8, u64)>,
    /// Kinds of which the oldest go when the budget is spent and nothing has run out.
    pub yields: Vec<u8>,
    /// Off: what lasts is left to the system. A kill of the process loses nothing, a power cut may.
    pub sync: bool,
    /// Sealed segments without a checkpoint, at most.
    pub unchecked: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            segment: 4 << 20,
            budget: 256 << 20,
            spans: Vec::new(),
            yields: Vec::new(),
            sync: true,
            unchecked: 8,
        }
    }
}

/// What is to last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    Put { kind: u8, key: Vec<u8>, value: Vec<u8>, at: u64 },
    Remove { kind: u8, key: Vec<u8> },
}

/// What is there, without its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub kind: u8,
    pub key: Vec<u8>,
    pub at: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    pub records: usize,
    pub segments: usize,
    pub bytes: u64,
    /// Bytes that callers gave, and bytes written for them since the store was opened.
    pub given: u64,
    pub written: u64,
    pub syncs: u64,
    pub cleaned: u64,
    /// Records that were forgotten before their span was over, for want of room.
    pub yielded: u64,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    segment: u64,
    at: u32,
    size: u32,
    time: u64,
}

/// What is wrong with a store, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    pub file: String,
    pub at: u64,
    pub why: String,
}

pub struct Store<D: Disk> {
    disk: D,
    limits: Limits,
    manifest: Manifest,
    salts: HashMap<u64, u64>,
    /// Where the next record goes in the last segment.
    at: u64,
    index: HashMap<(u8, Box<[u8]>), Place, foldhash::fast::RandomState>,
    failed: bool,
    stats: Stats,
}

fn segment_name(number: u64) -> String {
    format!("{number:012}.segment")
}

fn checkpoint_name(number: u64) -> String {
    format!("{CHECKPOINT}.{number:012}")
}

/// Differs from segment to segment and store to store; what it is does not matter.
fn salt(number: u64, seed: u64) -> u64 {
    let mixed = (number ^ seed.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ mixed >> 29 | 1
}

/// Reads records up to `end`, or with `open` to the first place at which nothing was written. Returns where it ended.
fn walk(
    name: &str,
    bytes: &[u8],
    salt: u64,
    end: usize,
    open: bool,
    mut seen: impl FnMut(Record, usize, usize),
) -> Result<usize, Fault> {
    let mut at = SEGMENT_HEAD;
    while at < end {
        match decode(bytes, at, salt) {
            Found::Record(record, size) => {
                seen(record, at, size);
                at += size;
            }
            Found::End if open => return Ok(at),
            Found::End => return Err(damaged(name, at as u64, "ends before its end")),
            Found::Damage(why) => return Err(damaged(name, at as u64, why)),
        }
    }
    if at == end { Ok(at) } else { Err(damaged(name, at as u64, "a record beyond what is in use")) }
}

impl<D: Disk> Store<D> {
    /// Opens the store that is there; with `new`, makes one where there is none. `seed` is any number that another
    /// store hardly has.
    ///
    /// # Errors
    ///
    /// There is none, or it can't be read as what it was: nothing has been changed then.
    pub fn open(disk: D, limits: Limits, new: bool, seed: u64) -> Result<Self, Fault> {
        let names = disk.list()?;
        let ours =
            |n: &&String| n.ends_with(".segment") || n.starts_with(MANIFEST) || n.starts_with(CHECKPOINT);
        if !names.iter().any(|n| n == MANIFEST) {
            // A manifest that was never put in its place belongs to a store that was never made.
            let mut begun = names.iter().filter(ours).all(|n| n == MANIFEST_NEW || *n == segment_name(1));
            if begun && names.contains(&segment_name(1)) {
                let bytes = disk.read(&segment_name(1), SEGMENT_HEAD as u64, usize::MAX)?;
                begun = bytes.iter().all(|b| *b == 0);
            }
            if !begun {
                return Err(damaged(MANIFEST, 0, "missing, though there are segments"));
            }
            if !new {
                return Err(Fault::Missing);
            }
            return Self::make(disk, limits, seed);
        }
        if new {
            return Err(Fault::There);
        }
        let bytes = disk.read(MANIFEST, 0, usize::MAX)?;
        let manifest = decode_manifest(MANIFEST, &bytes)?;
        let mut store = Self {
            disk,
            limits: Limits { segment: manifest.segment_size, ..limits },
            manifest,
            salts: HashMap::new(),
            at: 0,
            index: HashMap::default(),
            failed: false,
            stats: Stats::default(),
        };
        store.load()?;
        // Whatever is not named was never in use, or is no longer.
        let m = &store.manifest;
        let mut kept: Vec<String> = m.segments.iter().map(|(n, _)| segment_name(*n)).collect();
        kept.push(MANIFEST.into());
        kept.extend(m.checkpoint.map(|(n, _)| checkpoint_name(n)));
        for name in names.iter().filter(ours).filter(|n| !kept.contains(n)) {
            store.disk.remove(name)?;
        }
        Ok(store)
    }

    fn make(disk: D, limits: Limits, seed: u64) -> Result<Self, Fault> {
        let segment = limits.segment.clamp(4096, 1 << 30).next_multiple_of(4096);
        let mut store = Self {
            disk,
            limits: Limits { segment, ..limits },
            manifest: Manifest { number: seed, segment_size: segment, ..Manifest::default() },
            salts: HashMap::new(),
            at: 0,
            index: HashMap::default(),
            failed: false,
            stats: Stats::default(),
        };
        store.roll()?;
        Ok(store)
    }

    fn segment(&self, number: u64) -> Result<(Vec<u8>, u64), Fault> {
        let name = segment_name(number);
        if self.disk.length(&name).map_err(|_| damaged(&name, 0, "missing"))? != self.manifest.segment_size {
            return Err(damaged(&name, 0, "its length"));
        }
        let bytes = self.disk.read(&name, 0, usize::MAX)?;
        let salt = read_segment_head(&name, &bytes, number)?;
        Ok((bytes, salt))
    }

    fn load(&mut self) -> Result<(), Fault> {
        let mut reach = 0;
        if let Some((number, upto)) = self.manifest.checkpoint {
            // It tells nothing that the segments don't: one that can't be read is done without.
            if self.read_checkpoint(&checkpoint_name(number)).is_some() {
                reach = upto;
            } else {
                self.index.clear();
            }
        }
        let segments = self.manifest.segments.clone();
        for (i, (number, used)) in segments.iter().enumerate() {
            let last = i + 1 == segments.len();
            let name = segment_name(*number);
            if *number <= reach && !last {
                let length = self.disk.length(&name).map_err(|_| damaged(&name, 0, "missing"))?;
                if length != self.manifest.segment_size {
                    return Err(damaged(&name, 0, "its length"));
                }
                let head = self.disk.read(&name, 0, SEGMENT_HEAD)?;
                let salt = read_segment_head(&name, &head, *number)?;
                self.salts.insert(*number, salt);
                continue;
            }
            let (bytes, salt) = self.segment(*number)?;
            self.salts.insert(*number, salt);
            let end = if last { bytes.len() } else { *used as usize };
            let learn = |record: Record, at, size| self.learn(&record, *number, at, size);
            let at = walk(&name, &bytes, salt, end, last, learn)?;
            if last {
                self.at = at as u64;
                // What was begun and never kept must not be taken for a record once others lie before it.
                if bytes[at..].iter().any(|b| *b != 0) {
                    let zeros = vec![0; bytes.len() - at];
                    self.disk.write(&name, at as u64, &zeros)?;
                    self.disk.sync(&name)?;
                }
            }
        }
        Ok(())
    }

    fn learn(&mut self, record: &Record, segment: u64, at: usize, size: usize) {
        let key = (record.kind, record.key.clone().into_boxed_slice());
        if record.gone {
            self.index.remove(&key);
        } else {
            let place = Place { segment, at: at as u32, size: size as u32, time: record.at };
            self.index.insert(key, place);
        }
    }

    fn read_checkpoint(&mut self, name: &str) -> Option<()> {
        let bytes = self.disk.read(name, 0, usize::MAX).ok()?;
        let (body, sum) = bytes.split_last_chunk::<4>()?;
        if crc32fast::hash(body) != u32::from_le_bytes(*sum) || body.get(..4)? != b"LSTC" {
            return None;
        }
        let there: std::collections::HashSet<u64> = self.manifest.segments.iter().map(|(n, _)| *n).collect();
        let mut rest = &body[4..];
        let mut take = |n: usize| {
            let (piece, more) = rest.split_at_checked(n)?;
            rest = more;
            Some(piece)
        };
        let count = u64::from_le_bytes(take(8)?.try_into().ok()?);
        // No more room than so many could take: the count is only as good as the checksum.
        self.index.reserve(usize::try_from(count).unwrap_or(0).min(body.len() / 27));
        for _ in 0..count {
            let head = take(27)?;
            let long = |at: usize| head[at..at + 8].try_into().map(u64::from_le_bytes).ok();
            let word = |at: usize| head[at..at + 4].try_into().map(u32::from_le_bytes).ok();
            let (segment, time, at, size) = (long(0)?, long(8)?, word(16)?, word(20)?);
            let (kind, length) = (head[24], usize::from(u16::from_le_bytes([head[25], head[26]])));
            let key = take(length)?.to_vec().into_boxed_slice();
            // Of a segment that was cleaned since, what still counts lies in a later one.
            if there.contains(&segment) {
                self.index.insert((kind, key), Place { segment, at, size, time });
            }
        }
        Some(())
    }

    fn alive(&self) -> Result<(), Fault> {
        if self.failed { Err(Fault::Failed) } else { Ok(()) }
    }

    /// Does something to the disk after whose failure nothing may be believed.
    fn dare<T>(&mut self, what: impl FnOnce(&mut D) -> std::io::Result<T>) -> Result<T, Fault> {
        self.alive()?;
        what(&mut self.disk).map_err(|why| {
            self.failed = true;
            why.into()
        })
    }

    fn sync(&mut self, name: &str) -> Result<(), Fault> {
        self.stats.syncs += 1;
        self.dare(|d| d.sync(name))
    }

    /// Puts another manifest in the place of this one.
    fn switch(&mut self, mut manifest: Manifest) -> Result<(), Fault> {
        manifest.number = manifest.number.wrapping_add(1);
        let bytes = encode_manifest(&manifest);
        self.stats.written += bytes.len() as u64;
        self.dare(|d| d.create(MANIFEST_NEW, bytes.len() as u64))?;
        self.dare(|d| d.write(MANIFEST_NEW, 0, &bytes))?;
        self.sync(MANIFEST_NEW)?;
        self.dare(|d| d.rename(MANIFEST_NEW, MANIFEST))?;
        self.dare(|d| d.sync_folder())?;
        self.manifest = manifest;
        Ok(())
    }

    /// Begins another segment; the one before is sealed by the same step.
    fn roll(&mut self) -> Result<(), Fault> {
        let mut manifest = self.manifest.clone();
        let number = manifest.segments.last().map_or(1, |(n, _)| n + 1);
        if let Some(last) = manifest.segments.last_mut() {
            last.1 = self.at;
            if !self.limits.sync {
                // Sealed, it is counted on to its end.
                let name = segment_name(last.0);
                self.sync(&name)?;
            }
        }
        manifest.segments.push((number, 0));
        let (name, salt) = (segment_name(number), salt(number, self.manifest.number));
        let length = self.manifest.segment_size;
        self.dare(|d| d.create(&name, length))?;
        self.dare(|d| d.write(&name, 0, &segment_head(number, salt)))?;
        self.sync(&name)?;
        self.dare(|d| d.sync_folder())?;
        self.switch(manifest)?;
        self.salts.insert(number, salt);
        self.at = SEGMENT_HEAD as u64;
        Ok(())
    }

    fn last(&self) -> u64 {
        self.manifest.segments.last().map_or(0, |(n, _)| *n)
    }

    /// Writes records behind the last, and syncs once for all that lie in one segment.
    fn append(&mut self, records: &[Record]) -> Result<(), Fault> {
        let mut learned: Vec<(usize, u64, u64, usize)> = Vec::new();
        let (mut bytes, mut from) = (Vec::new(), self.at);
        for (i, record) in records.iter().enumerate() {
            let length = size(record.key.len(), record.value.len());
            if from + bytes.len() as u64 + length as u64 > self.manifest.segment_size {
                self.flush(&bytes, from)?;
                bytes.clear();
                self.roll()?;
                from = self.at;
            }
            let number = self.last();
            let place = from + bytes.len() as u64;
            let salt = self.salts.get(&number).copied().unwrap_or_default();
            bytes.extend(encode(record, salt, place));
            learned.push((i, number, place, length));
        }
        self.flush(&bytes, from)?;
        for (i, number, place, length) in learned {
            self.learn(&records[i], number, place as usize, length);
        }
        Ok(())
    }

    fn flush(&mut self, bytes: &[u8], from: u64) -> Result<(), Fault> {
        if bytes.is_empty() {
            return self.alive();
        }
        let name = segment_name(self.last());
        self.stats.written += bytes.len() as u64;
        self.dare(|d| d.write(&name, from, bytes))?;
        if self.limits.sync {
            self.sync(&name)?;
        }
        self.at = from + bytes.len() as u64;
        Ok(())
    }

    /// Keeps all of these, in their order. They last when this returns. After an error none may be counted on, and none
    /// may be counted out; the store takes nothing more.
    ///
    /// # Errors
    ///
    /// A record is too large (nothing was done); the disk's.
    pub fn commit(&mut self, ops: &[Op], now: u64) -> Result<(), Fault> {
        self.alive()?;
        let mut records = Vec::with_capacity(ops.len());
        for op in ops {
            let record = match op {
                Op::Put { kind, key, value, at } => {
                    Record { kind: *kind, gone: false, at: *at, key: key.clone(), value: value.clone() }
                }
                Op::Remove { kind, key } => {
                    Record { kind: *kind, gone: true, at: now, key: key.clone(), value: Vec::new() }
                }
            };
            let length = record.key.len() + record.value.len();
            let fits = size(record.key.len(), record.value.len()) + SEGMENT_HEAD
                <= self.manifest.segment_size as usize;
            if !fits || length > LARGEST || record.key.len() > usize::from(u16::MAX) {
                return Err(Fault::Large(length));
            }
            self.stats.given += length as u64;
            records.push(record);
        }
        self.append(&records)?;
        // One of them is always empty enough to go on with.
        while self.size() > self.limits.budget && self.manifest.segments.len() > 2 {
            let before = self.size();
            self.clean(now, true)?;
            if self.size() >= before {
                break;
            }
        }
        let reach = self.manifest.checkpoint.map_or(0, |(_, reach)| reach);
        // One more that is being written, and is never in a checkpoint.
        let unchecked = self.manifest.segments.iter().filter(|(n, _)| *n > reach).count();
        if unchecked > self.limits.unchecked + 1 {
            self.checkpoint()?;
        }
        Ok(())
    }

    fn size(&self) -> u64 {
        self.manifest.segments.len() as u64 * self.manifest.segment_size
    }

    fn run_out(&self, kind: u8, at: u64, now: u64) -> bool {
        let span = self.limits.spans.iter().find(|(k, _)| *k == kind).map(|(_, span)| *span);
        span.is_some_and(|span| at.saturating_add(span) < now)
    }

    /// Puts what still counts of the oldest segment behind the last, and drops that segment. With `full`, kinds that
    /// yield are not put there.
    ///
    /// # Errors
    ///
    /// The segment is damaged (it stays); the disk's.
    pub fn clean(&mut self, now: u64, full: bool) -> Result<(), Fault> {
        self.alive()?;
        if self.manifest.segments.len() < 2 {
            return Ok(());
        }
        let (number, used) = self.manifest.segments[0];
        let (bytes, salt) = self.segment(number)?;
        let (mut kept, mut gone, mut yielded) = (Vec::new(), Vec::new(), 0);
        walk(&segment_name(number), &bytes, salt, used as usize, false, |record, at, _| {
            let key = (record.kind, record.key.clone().into_boxed_slice());
            if !self.index.get(&key).is_some_and(|p| p.segment == number && p.at as usize == at) {
                return;
            }
            if self.run_out(record.kind, record.at, now) {
                gone.push(key);
            } else if full && self.limits.yields.contains(&record.kind) {
                yielded += 1;
                gone.push(key);
            } else {
                kept.push(record);
            }
        })?;
        self.stats.yielded += yielded;
        // They last in their new place before the old one goes.
        self.append(&kept)?;
        let mut manifest = self.manifest.clone();
        manifest.segments.remove(0);
        self.switch(manifest)?;
        for key in gone {
            self.index.remove(&key);
        }
        self.salts.remove(&number);
        self.stats.cleaned += 1;
        self.dare(|d| d.remove(&segment_name(number)))
    }

    /// Cleans every sealed segment once.
    ///
    /// # Errors
    ///
    /// As [`Store::clean`].
    pub fn compact(&mut self, now: u64) -> Result<(), Fault> {
        for _ in 1..self.manifest.segments.len() {
            self.clean(now, false)?;
        }
        Ok(())
    }

    /// Writes down the index of all sealed segments, so that the next start need not read them.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn checkpoint(&mut self) -> Result<(), Fault> {
        self.alive()?;
        let Some((reach, _)) = self.manifest.segments.iter().rev().nth(1).copied() else { return Ok(()) };
        let mut bytes = b"LSTC".to_vec();
        let mut count = 0_u64;
        bytes.extend_from_slice(&count.to_le_bytes());
        // What lies in the last segment is read from there: it may replace what is written here.
        for ((kind, key), p) in self.index.iter().filter(|(_, p)| p.segment <= reach) {
            count += 1;
            bytes.extend_from_slice(&p.segment.to_le_bytes());
            bytes.extend_from_slice(&p.time.to_le_bytes());
            bytes.extend_from_slice(&p.at.to_le_bytes());
            bytes.extend_from_slice(&p.size.to_le_bytes());
            bytes.push(*kind);
            bytes.extend_from_slice(&(key.len() as u16).to_le_bytes());
            bytes.extend_from_slice(key);
        }
        bytes[4..12].copy_from_slice(&count.to_le_bytes());
        let sum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&sum.to_le_bytes());
        let old = self.manifest.checkpoint;
        let number = old.map_or(1, |(n, _)| n + 1);
        let name = checkpoint_name(number);
        self.stats.written += bytes.len() as u64;
        self.dare(|d| d.create(&name, bytes.len() as u64))?;
        self.dare(|d| d.write(&name, 0, &bytes))?;
        self.sync(&name)?;
        self.dare(|d| d.sync_folder())?;
        self.switch(Manifest { checkpoint: Some((number, reach)), ..self.manifest.clone() })?;
        match old {
            Some((number, _)) => self.dare(|d| d.remove(&checkpoint_name(number))),
            None => Ok(()),
        }
    }

    /// What is kept under this key.
    ///
    /// # Errors
    ///
    /// It is damaged; the disk's.
    pub fn get(&self, kind: u8, key: &[u8]) -> Result<Option<Vec<u8>>, Fault> {
        self.alive()?;
        let Some(place) = self.index.get(&(kind, key.to_vec().into_boxed_slice())) else { return Ok(None) };
        let name = segment_name(place.segment);
        // Read as it lies, with zeros before it, since a record knows its place.
        let (at, length) = (place.at as usize, place.size as usize);
        let mut bytes = vec![0; at];
        bytes.extend(self.disk.read(&name, u64::from(place.at), length)?);
        let salt = self.salts.get(&place.segment).copied().unwrap_or_default();
        match decode(&bytes, at, salt) {
            Found::Record(record, _) if record.key == key && record.kind == kind => Ok(Some(record.value)),
            Found::Damage(why) => Err(damaged(&name, u64::from(place.at), why)),
            _ => Err(damaged(&name, u64::from(place.at), "not the record that was kept")),
        }
    }

    /// All that is kept, in no order.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.index.iter().map(|((kind, key), p)| Entry { kind: *kind, key: key.to_vec(), at: p.time })
    }

    #[must_use]
    pub fn stats(&self) -> Stats {
        let segments = self.manifest.segments.len();
        Stats { records: self.index.len(), segments, bytes: self.size(), ..self.stats }
    }

    /// Reads everything, and tells what is damaged.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn verify(&self) -> Result<Vec<Damage>, Fault> {
        let mut all = Vec::new();
        for (number, used) in &self.manifest.segments {
            match self.read_through(*number, *used, |_, _| {}) {
                Ok(()) => {}
                Err(Fault::Damaged { file, at, why }) => all.push(Damage { file, at, why: why.into() }),
                Err(other) => return Err(other),
            }
        }
        Ok(all)
    }

    fn read_through(&self, number: u64, used: u64, mut seen: impl FnMut(Record, usize)) -> Result<(), Fault> {
        let end = if number == self.last() { self.at } else { used } as usize;
        let (bytes, salt) = self.segment(number)?;
        walk(&segment_name(number), &bytes, salt, end, false, |record, at, _| seen(record, at)).map(drop)
    }

    /// All that is kept with its values, by reading each segment once.
    ///
    /// # Errors
    ///
    /// A segment is damaged; the disk's.
    pub fn each(&self, mut seen: impl FnMut(Entry, Vec<u8>)) -> Result<(), Fault> {
        self.alive()?;
        for (number, used) in &self.manifest.segments {
            self.read_through(*number, *used, |record, at| {
                let Record { kind, key, value, at: time, .. } = record;
                let place = self.index.get(&(kind, key.clone().into_boxed_slice()));
                if place.is_some_and(|p| p.segment == *number && p.at as usize == at) {
                    seen(Entry { kind, key, at: time }, value);
                }
            })?;
        }
        Ok(())
    }

    /// The disk, for whoever wants it back.
    pub fn close(self) -> D {
        self.disk
    }
}

/// Makes a store of what can still be read of a damaged one, in new files. Nothing is invented: each record that comes
/// out was kept. The old files stay, under names that begin with `lost-`. Returns the new store's records and what was
/// lost, as far as it can be told.
///
/// # Errors
///
/// The disk's; the store is whole, and wants no repair (`There`); another form.
pub fn repair<D: Disk>(mut disk: D, limits: Limits, seed: u64) -> Result<(Store<D>, Vec<Damage>), Fault> {
    let mut lost = Vec::new();
    let names = disk.list()?;
    let mut segments: Vec<(u64, String)> = Vec::new();
    for name in &names {
        if let Some(number) = name.strip_suffix(".segment").and_then(|n| n.parse().ok()) {
            segments.push((number, name.clone()));
        }
    }
    segments.sort();
    if segments.is_empty() {
        return Err(Fault::Missing);
    }
    let mut records: Vec<Record> = Vec::new();
    let mut foreign = None;
    for (number, name) in &segments {
        let bytes = disk.read(name, 0, usize::MAX)?;
        let salt = match read_segment_head(name, &bytes, *number) {
            Ok(salt) => salt,
            Err(why) => {
                if let Fault::Form { .. } = why {
                    foreign = Some(why);
                }
                lost.push(Damage { file: name.clone(), at: 0, why: "the whole segment: its head".into() });
                continue;
            }
        };
        let mut at = SEGMENT_HEAD;
        while at < bytes.len() {
            match decode(&bytes, at, salt) {
                Found::Record(record, size) => {
                    records.push(record);
                    at += size;
                }
                _ => {
                    // Whatever lies behind is looked for: a record knows its place.
                    let next = (at + ALIGN..bytes.len()).step_by(ALIGN);
                    let next =
                        next.into_iter().find(|at| matches!(decode(&bytes, *at, salt), Found::Record(..)));
                    let end = next.unwrap_or(bytes.len());
                    if bytes[at..end].iter().any(|b| *b != 0) {
                        let why = format!("{} bytes that are no record", end - at);
                        lost.push(Damage { file: name.clone(), at: at as u64, why });
                    }
                    at = end;
                }
            }
        }
    }
    // One head may have a bit turned; all of them are a later version's.
    if let Some(why) = foreign.filter(|_| lost.len() == segments.len()) {
        return Err(why);
    }
    for name in names.iter().filter(|n| !n.starts_with("lost-")) {
        disk.rename(name, &format!("lost-{name}"))?;
    }
    disk.sync_folder()?;
    let mut store = Store::make(disk, limits, seed)?;
    store.append(&records)?;
    Ok((store, lost))
}
