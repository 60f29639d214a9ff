//! A disk that loses what was not synced, fails when it is told to, and is cut in the middle of a write.

use std::collections::BTreeMap;
use std::io;

use fastrand::Rng;
use linestack_store::Disk;

const SECTOR: usize = 512;

#[derive(Clone, Debug, Default)]
struct Inode {
    synced: Vec<u8>,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug)]
enum Entry {
    Link(String, usize),
    Unlink(String),
}

/// What happens at one step, and from there on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The power is cut after so many bytes of that write; nothing after it is done.
    Cut(usize),
    /// That call fails; the ones after it do not.
    Fails,
}

#[derive(Clone, Debug, Default)]
pub struct Memory {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    synced: BTreeMap<String, usize>,
    pending: Vec<Entry>,
    pub steps: usize,
    pub trouble: Option<(usize, Trouble)>,
    cut: bool,
}

impl Memory {
    pub fn with(step: usize, trouble: Trouble) -> Self {
        Self { trouble: Some((step, trouble)), ..Self::default() }
    }

    fn step(&mut self) -> io::Result<Option<usize>> {
        if self.cut {
            return Err(io::Error::other("no power"));
        }
        self.steps += 1;
        match self.trouble {
            Some((at, Trouble::Fails)) if at == self.steps => {
                Err(io::Error::from(io::ErrorKind::StorageFull))
            }
            Some((at, Trouble::Cut(bytes))) if at == self.steps => {
                self.cut = true;
                Ok(Some(bytes))
            }
            _ => Ok(None),
        }
    }

    /// Nobody hears of what was done when the power went.
    fn done(&self) -> io::Result<()> {
        if self.cut { Err(io::Error::other("no power")) } else { Ok(()) }
    }

    fn inode(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or(io::Error::from(io::ErrorKind::NotFound))
    }

    /// What is there after the power came back: what was synced, and of the rest any part, in any order.
    pub fn after_cut(&self, rng: &mut Rng) -> Self {
        let mut names = self.synced.clone();
        for entry in &self.pending {
            if rng.bool() {
                match entry {
                    Entry::Link(name, inode) => drop(names.insert(name.clone(), *inode)),
                    Entry::Unlink(name) => drop(names.remove(name)),
                }
            }
        }
        let inodes: Vec<Inode> = self
            .inodes
            .iter()
            .map(|i| {
                let mut bytes = i.synced.clone();
                if i.bytes.len() != bytes.len() && rng.bool() {
                    bytes.resize(i.bytes.len(), 0);
                }
                let all = rng.u8(0..3);
                for at in (0..bytes.len()).step_by(SECTOR) {
                    let end = (at + SECTOR).min(bytes.len()).min(i.bytes.len());
                    if at < end && (all == 0 || (all == 1 && rng.bool())) {
                        bytes[at..end].copy_from_slice(&i.bytes[at..end]);
                    }
                }
                Inode { synced: bytes.clone(), bytes }
            })
            .collect();
        Self { inodes, synced: names.clone(), names, ..Self::default() }
    }

    /// As a process that was killed leaves it: the system has all that it was given.
    pub fn after_kill(&self) -> Self {
        let mut disk = self.clone();
        (disk.trouble, disk.cut, disk.steps) = (None, false, 0);
        disk
    }

    pub fn files(&self) -> Vec<(String, usize)> {
        self.names.iter().map(|(n, i)| (n.clone(), self.inodes[*i].bytes.len())).collect()
    }

    pub fn cut_file(&mut self, name: &str, length: usize) {
        let inode = self.names[name];
        self.inodes[inode].bytes.truncate(length);
        self.inodes[inode].synced.truncate(length);
    }

    pub fn flip(&mut self, name: &str, bit: usize) {
        let inode = self.names[name];
        self.inodes[inode].bytes[bit / 8] ^= 1 << (bit % 8);
    }

    pub fn zero(&mut self, name: &str, from: usize, to: usize) {
        let inode = self.names[name];
        self.inodes[inode].bytes[from..to].fill(0);
    }

    pub fn vanish(&mut self, name: &str) {
        self.names.remove(name);
    }
}

impl Disk for Memory {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        Ok(self.inodes[self.inode(name)?].bytes.len() as u64)
    }

    fn read(&self, name: &str, at: u64, length: usize) -> io::Result<Vec<u8>> {
        let bytes = &self.inodes[self.inode(name)?].bytes;
        let at = (at as usize).min(bytes.len());
        Ok(bytes[at..bytes.len().min(at.saturating_add(length))].to_vec())
    }

    fn create(&mut self, name: &str, length: u64) -> io::Result<()> {
        let cut = self.step()?;
        self.inodes.push(Inode {
            synced: Vec::new(),
            bytes: vec![0; cut.unwrap_or(length as usize).min(length as usize)],
        });
        self.names.insert(name.to_owned(), self.inodes.len() - 1);
        self.pending.push(Entry::Link(name.to_owned(), self.inodes.len() - 1));
        self.done()
    }

    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        let cut = self.step()?;
        let (inode, at) = (self.inode(name)?, at as usize);
        let bytes = &bytes[..cut.unwrap_or(bytes.len()).min(bytes.len())];
        let file = &mut self.inodes[inode].bytes;
        if file.len() < at + bytes.len() {
            file.resize(at + bytes.len(), 0);
        }
        file[at..at + bytes.len()].copy_from_slice(bytes);
        self.done()
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let inode = self.inode(name)?;
        if self.step()?.is_none() {
            self.inodes[inode].synced = self.inodes[inode].bytes.clone();
        }
        self.done()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let inode = self.inode(from)?;
        self.step()?;
        self.names.remove(from);
        self.names.insert(to.to_owned(), inode);
        // A file system does both or neither.
        self.pending.push(Entry::Link(to.to_owned(), inode));
        self.done()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.inode(name)?;
        self.step()?;
        self.names.remove(name);
        self.pending.push(Entry::Unlink(name.to_owned()));
        self.done()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        if self.step()?.is_none() {
            self.synced = self.names.clone();
            self.pending.clear();
        }
        self.done()
    }
}
