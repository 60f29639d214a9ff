//! A simulated disk. It loses unsynced data at a power failure, which may interrupt a write, and can make a call fail.

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

/// A change of the folder that is not synced yet.
#[derive(Clone, Debug)]
enum FolderChange {
    Link(String, usize),
    Unlink(String),
}

/// A fault that occurs at one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// The power fails after this number of bytes of the write; all later calls fail.
    PowerFailure(usize),
    /// The call fails; later calls succeed.
    CallFails,
}

#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    inodes: Vec<Inode>,
    /// The inode of each name.
    names: BTreeMap<String, usize>,
    /// The inode of each name, as of the last sync of the folder.
    synced_names: BTreeMap<String, usize>,
    pending: Vec<FolderChange>,
    /// The number of modifying calls so far.
    pub steps: usize,
    /// The fault, and the step at which it occurs.
    pub fault: Option<(usize, DiskFault)>,
    power_failed: bool,
}

impl SimulatedDisk {
    pub fn with_fault(step: usize, fault: DiskFault) -> Self {
        Self { fault: Some((step, fault)), ..Self::default() }
    }

    /// Counts a modifying call. Returns the number of bytes after which the power fails during it, if it does.
    fn step(&mut self) -> io::Result<Option<usize>> {
        if self.power_failed {
            return Err(io::Error::other("no power"));
        }
        self.steps += 1;
        match self.fault {
            Some((at, DiskFault::CallFails)) if at == self.steps => {
                Err(io::Error::from(io::ErrorKind::StorageFull))
            }
            Some((at, DiskFault::PowerFailure(bytes))) if at == self.steps => {
                self.power_failed = true;
                Ok(Some(bytes))
            }
            _ => Ok(None),
        }
    }

    /// Returns the result of a modifying call: an error if the power failed during it.
    fn finish(&self) -> io::Result<()> {
        if self.power_failed { Err(io::Error::other("no power")) } else { Ok(()) }
    }

    fn inode(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or(io::Error::from(io::ErrorKind::NotFound))
    }

    /// Returns the disk after a power failure: all synced data, and any part of the unsynced changes in any order.
    pub fn after_power_failure(&self, rng: &mut Rng) -> Self {
        let mut names = self.synced_names.clone();
        for change in &self.pending {
            if rng.bool() {
                match change {
                    FolderChange::Link(name, inode) => drop(names.insert(name.clone(), *inode)),
                    FolderChange::Unlink(name) => drop(names.remove(name)),
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
                // Of the unsynced sectors all, a random part or none are written.
                let written = rng.u8(0..3);
                for at in (0..bytes.len()).step_by(SECTOR) {
                    let end = (at + SECTOR).min(bytes.len()).min(i.bytes.len());
                    if at < end && (written == 0 || (written == 1 && rng.bool())) {
                        bytes[at..end].copy_from_slice(&i.bytes[at..end]);
                    }
                }
                Inode { synced: bytes.clone(), bytes }
            })
            .collect();
        Self { inodes, synced_names: names.clone(), names, ..Self::default() }
    }

    /// Returns the disk after a kill of the process: the system has all data that was written.
    pub fn after_kill(&self) -> Self {
        let mut disk = self.clone();
        (disk.fault, disk.power_failed, disk.steps) = (None, false, 0);
        disk
    }

    /// Returns the names and lengths of all files.
    pub fn files(&self) -> Vec<(String, usize)> {
        self.names.iter().map(|(n, i)| (n.clone(), self.inodes[*i].bytes.len())).collect()
    }

    pub fn truncate_file(&mut self, name: &str, length: usize) {
        let inode = self.names[name];
        self.inodes[inode].bytes.truncate(length);
        self.inodes[inode].synced.truncate(length);
    }

    pub fn flip_bit(&mut self, name: &str, bit: usize) {
        let inode = self.names[name];
        self.inodes[inode].bytes[bit / 8] ^= 1 << (bit % 8);
    }

    pub fn zero(&mut self, name: &str, from: usize, to: usize) {
        let inode = self.names[name];
        self.inodes[inode].bytes[from..to].fill(0);
    }

    pub fn remove_name(&mut self, name: &str) {
        self.names.remove(name);
    }
}

impl Disk for SimulatedDisk {
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
        let interrupted_at = self.step()?;
        self.inodes.push(Inode {
            synced: Vec::new(),
            bytes: vec![0; interrupted_at.unwrap_or(length as usize).min(length as usize)],
        });
        self.names.insert(name.to_owned(), self.inodes.len() - 1);
        self.pending.push(FolderChange::Link(name.to_owned(), self.inodes.len() - 1));
        self.finish()
    }

    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        let interrupted_at = self.step()?;
        let (inode, at) = (self.inode(name)?, at as usize);
        let bytes = &bytes[..interrupted_at.unwrap_or(bytes.len()).min(bytes.len())];
        let file = &mut self.inodes[inode].bytes;
        if file.len() < at + bytes.len() {
            file.resize(at + bytes.len(), 0);
        }
        file[at..at + bytes.len()].copy_from_slice(bytes);
        self.finish()
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let inode = self.inode(name)?;
        if self.step()?.is_none() {
            self.inodes[inode].synced = self.inodes[inode].bytes.clone();
        }
        self.finish()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let inode = self.inode(from)?;
        self.step()?;
        self.names.remove(from);
        self.names.insert(to.to_owned(), inode);
        // The rename is one change: after a power failure, the new name has either its old or its new inode.
        self.pending.push(FolderChange::Link(to.to_owned(), inode));
        self.finish()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.inode(name)?;
        self.step()?;
        self.names.remove(name);
        self.pending.push(FolderChange::Unlink(name.to_owned()));
        self.finish()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        if self.step()?.is_none() {
            self.synced_names = self.names.clone();
            self.pending.clear();
        }
        self.finish()
    }
}
