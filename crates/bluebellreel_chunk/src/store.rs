//! One disk's chunks.
//!
//! A write is acknowledged only after the bytes and the names that lead to them
//! were synced; a read compares the bytes with the name. A damaged chunk is
//! moved aside, so that it is copied anew from its other holder.

use crate::name::is_plain;
use crate::{ChunkFolder, DiskId, StoreError, VolumeId};
use bluebellreel_types::content_digest;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::SystemTime;

/// File that names the disk.
const ID_FILE: &str = "disk-id";
/// Ends the names of files that are not whole yet.
const PARTIAL: &str = ".part";
/// Ends the names of files whose bytes do not fit their names.
const DAMAGED: &str = ".damaged";
/// Length of a chunk's name.
const DIGEST_LENGTH: usize = 64;

/// Bounds of a disk's share for chunks.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Most bytes in chunks.
    pub bytes: u64,
}

/// A chunk on a disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChunkName {
    /// Its folder.
    pub folder: ChunkFolder,
    /// SHA-256 of its bytes, in hexadecimal.
    pub digest: String,
}

/// A disk's chunks.
#[derive(Debug)]
pub struct ChunkStore {
    /// The disk.
    pub id: DiskId,
    root: PathBuf,
    limits: StoreLimits,
    used: AtomicU64,
    parts: AtomicU64,
    /// Volumes that take no writes up to this epoch. Writers hold the lock
    /// shared while they write, so that a seal waits for writes under way: a
    /// copy of the volume made after it misses none that was acknowledged.
    seals: RwLock<BTreeMap<VolumeId, u64>>,
}

impl ChunkStore {
    /// Opens a folder; names the disk the first time.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    pub fn open(root: &Path, limits: StoreLimits) -> Result<Self, StoreError> {
        fs::create_dir_all(root)?;
        let id = disk_id(root)?;
        let store = Self {
            id,
            root: root.to_owned(),
            limits,
            used: AtomicU64::new(0),
            parts: AtomicU64::new(0),
            seals: RwLock::default(),
        };
        let mut used = 0;
        for path in store.files()? {
            if path.to_string_lossy().ends_with(PARTIAL) {
                fs::remove_file(&path)?;
            } else {
                used += fs::metadata(&path)?.len();
            }
        }
        store.used.store(used, Ordering::SeqCst);
        Ok(store)
    }

    /// Bytes in chunks.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::SeqCst)
    }

    /// Keeps a chunk that a writer sends under the volume's epoch as it knows
    /// it; its name.
    ///
    /// # Errors
    ///
    /// Gives that the disk is full, or that the volume is being moved.
    pub fn write(
        &self,
        folder: &ChunkFolder,
        epoch: u64,
        bytes: &[u8],
    ) -> Result<String, StoreError> {
        let seals = self.seals.read().map_err(|_| StoreError::Moved)?;
        if seals
            .get(&folder.volume)
            .is_some_and(|sealed| epoch <= *sealed)
        {
            return Err(StoreError::Moved);
        }
        self.keep(folder, bytes)
    }

    /// Keeps a chunk that another holder copies here; its name.
    ///
    /// # Errors
    ///
    /// Gives that the disk is full.
    pub fn copy_in(&self, folder: &ChunkFolder, bytes: &[u8]) -> Result<String, StoreError> {
        self.keep(folder, bytes)
    }

    /// Lets a volume take no writes up to an epoch, after those under way.
    pub fn seal(&self, volume: VolumeId, epoch: u64) {
        if let Ok(mut seals) = self.seals.write() {
            seals.insert(volume, epoch);
        }
    }

    /// Lets a volume take writes again: its move failed.
    pub fn unseal(&self, volume: VolumeId) {
        if let Ok(mut seals) = self.seals.write() {
            seals.remove(&volume);
        }
    }

    fn keep(&self, folder: &ChunkFolder, bytes: &[u8]) -> Result<String, StoreError> {
        let digest = content_digest(bytes);
        let path = folder.path_in(&self.root).ok_or(StoreError::InvalidName)?;
        let name = path.join(&digest);
        if name.exists() {
            return Ok(digest);
        }
        let size = bytes.len() as u64;
        if self.used.fetch_add(size, Ordering::SeqCst) + size > self.limits.bytes {
            self.used.fetch_sub(size, Ordering::SeqCst);
            return Err(StoreError::Full);
        }
        let written = self.write_synced(&path, &name, bytes);
        if written.is_err() {
            self.used.fetch_sub(size, Ordering::SeqCst);
        }
        written?;
        Ok(digest)
    }

    /// The name appears only once the bytes are on the disk; the names on the
    /// way to it are synced before this returns.
    fn write_synced(&self, folder: &Path, name: &Path, bytes: &[u8]) -> io::Result<()> {
        create_synced(folder, &self.root)?;
        let number = self.parts.fetch_add(1, Ordering::SeqCst);
        let part = folder.join(format!("{number}{PARTIAL}"));
        let mut f = File::create(&part)?;
        let done = f
            .write_all(bytes)
            .and_then(|()| f.sync_all())
            .and_then(|()| fs::rename(&part, name))
            .and_then(|()| sync_folder(folder));
        if done.is_err() {
            fs::remove_file(&part).ok();
        }
        done
    }

    /// Reads a chunk; none if it is not here or damaged.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    pub fn read(&self, folder: &ChunkFolder, digest: &str) -> Result<Option<Vec<u8>>, StoreError> {
        if !is_plain(digest) || digest.len() != DIGEST_LENGTH {
            return Err(StoreError::InvalidName);
        }
        let path = folder.path_in(&self.root).ok_or(StoreError::InvalidName)?;
        let name = path.join(digest);
        let bytes = match fs::read(&name) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e.into()),
        };
        if content_digest(&bytes) == digest {
            return Ok(Some(bytes));
        }
        // Out of the way, so that a good copy can take its place.
        fs::rename(&name, path.join(format!("{digest}{DAMAGED}")))?;
        Ok(None)
    }

    /// Whether a chunk is here, without a look at its bytes.
    #[must_use]
    pub fn has(&self, chunk: &ChunkName) -> bool {
        let folder = chunk.folder.path_in(&self.root);
        folder.is_some_and(|path| path.join(&chunk.digest).exists())
    }

    /// All chunks of a volume.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    pub fn chunks_of(&self, volume: VolumeId) -> Result<Vec<ChunkName>, StoreError> {
        let mut chunks = Vec::new();
        for (folder, path) in self.folders()? {
            if folder.volume != volume {
                continue;
            }
            for name in names_in(&path)? {
                if name.len() == DIGEST_LENGTH {
                    let folder = folder.clone();
                    let digest = name;
                    chunks.push(ChunkName { folder, digest });
                }
            }
        }
        chunks.sort();
        Ok(chunks)
    }

    /// All folders, and when each was last written to.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    pub fn folders_by_age(&self) -> Result<Vec<(ChunkFolder, SystemTime)>, StoreError> {
        let mut folders = Vec::new();
        for (folder, path) in self.folders()? {
            folders.push((folder, fs::metadata(&path)?.modified()?));
        }
        Ok(folders)
    }

    /// Removes a folder with its chunks.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    pub fn remove(&self, folder: &ChunkFolder) -> Result<(), StoreError> {
        let path = folder.path_in(&self.root).ok_or(StoreError::InvalidName)?;
        let mut freed = 0;
        for name in names_in(&path)? {
            freed += fs::metadata(path.join(name))?.len();
        }
        fs::remove_dir_all(&path)?;
        self.used.fetch_sub(freed, Ordering::SeqCst);
        // The job's folder goes with its last upload.
        if let Some(job) = path.parent() {
            fs::remove_dir(job).ok();
        }
        Ok(())
    }

    fn folders(&self) -> Result<Vec<(ChunkFolder, PathBuf)>, StoreError> {
        let mut folders = Vec::new();
        for volume in names_in(&self.root)? {
            let Ok(number) = volume.parse() else { continue };
            let volume_path = self.root.join(&volume);
            for job in names_in(&volume_path)? {
                let job_path = volume_path.join(&job);
                for upload in names_in(&job_path)? {
                    let path = job_path.join(&upload);
                    folders.push((ChunkFolder::new(VolumeId(number), &job, &upload), path));
                }
            }
        }
        Ok(folders)
    }

    fn files(&self) -> Result<Vec<PathBuf>, StoreError> {
        let mut files = Vec::new();
        for (_, path) in self.folders()? {
            files.extend(names_in(&path)?.into_iter().map(|name| path.join(name)));
        }
        Ok(files)
    }
}

fn disk_id(root: &Path) -> io::Result<DiskId> {
    let path = root.join(ID_FILE);
    match fs::read_to_string(&path) {
        Ok(text) if is_plain(text.trim()) => Ok(DiskId(Arc::from(text.trim()))),
        Ok(_) => Err(io::Error::other("the disk's name is damaged")),
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            let id = format!("{:016x}", rand::random::<u64>());
            let part = root.join(format!("{ID_FILE}{PARTIAL}"));
            let mut f = File::create(&part)?;
            f.write_all(id.as_bytes())?;
            f.sync_all()?;
            fs::rename(&part, &path)?;
            sync_folder(root)?;
            Ok(DiskId(Arc::from(id)))
        }
        Err(e) => Err(e),
    }
}

/// Creates a folder and syncs each name that leads to it from the root.
fn create_synced(folder: &Path, root: &Path) -> io::Result<()> {
    if folder.exists() {
        return Ok(());
    }
    if let Some(parent) = folder.parent()
        && parent != root
    {
        create_synced(parent, root)?;
    }
    match fs::create_dir(folder) {
        Ok(()) => {}
        Err(e) if e.kind() == io::ErrorKind::AlreadyExists => {}
        Err(e) => return Err(e),
    }
    folder.parent().map_or(Ok(()), sync_folder)
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Names in a folder; none if there is no such folder.
fn names_in(folder: &Path) -> io::Result<Vec<String>> {
    let entries = match fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(e)
            if matches!(
                e.kind(),
                io::ErrorKind::NotFound | io::ErrorKind::NotADirectory
            ) =>
        {
            return Ok(Vec::new());
        }
        Err(e) => return Err(e),
    };
    let names = entries.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()));
    names.collect()
}
