//! The chunks of one disk.
//!
//! A write is acknowledged only after the file and all folders on its path were
//! synced. A read checks the bytes against the digest in the name. A damaged chunk
//! is renamed, so that it is copied again from the volume's other holder.

use crate::name::is_safe_segment;
use crate::{ChunkFolder, DiskId, StoreError, VolumeId};
use bluebellreel_types::content_digest;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::SystemTime;

/// The file with the disk's id.
const ID_FILE: &str = "disk-id";
/// Suffix of files whose write has not completed.
const PARTIAL_SUFFIX: &str = ".part";
/// Suffix of files whose bytes do not match the digest in their name.
const DAMAGED_SUFFIX: &str = ".damaged";
/// Length in characters of a chunk's digest, which is also its file name.
const DIGEST_LENGTH: usize = 64;

/// Limits of the space for chunks on a disk.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Maximum total size of the chunks, in bytes.
    pub bytes: u64,
}

/// The name of a chunk on a disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChunkName {
    /// Its folder.
    pub folder: ChunkFolder,
    /// SHA-256 of its bytes, in hexadecimal.
    pub digest: String,
}

/// The chunks of one disk.
#[derive(Debug)]
pub struct ChunkStore {
    /// The disk's id.
    pub id: DiskId,
    root: PathBuf,
    limits: StoreLimits,
    used: AtomicU64,
    next_part: AtomicU64,
    /// Sealed volumes, each with the epoch up to which its writes are refused.
    /// Writers hold the read lock while they write, so that sealing waits for the
    /// writes in progress. A copy of the volume made afterwards therefore contains
    /// every acknowledged write.
    seals: RwLock<BTreeMap<VolumeId, u64>>,
}

impl ChunkStore {
    /// Opens the store in a folder and removes files of interrupted writes. The first
    /// call generates the disk's id.
    ///
    /// # Errors
    ///
    /// Returns an I/O error.
    pub fn open(root: &Path, limits: StoreLimits) -> Result<Self, StoreError> {
        fs::create_dir_all(root)?;
        let id = disk_id(root)?;
        let store = Self {
            id,
            root: root.to_owned(),
            limits,
            used: AtomicU64::new(0),
            next_part: AtomicU64::new(0),
            seals: RwLock::default(),
        };
        let mut used = 0;
        for path in store.files()? {
            if path.to_string_lossy().ends_with(PARTIAL_SUFFIX) {
                fs::remove_file(&path)?;
            } else {
                used += fs::metadata(&path)?.len();
            }
        }
        store.used.store(used, Ordering::SeqCst);
        Ok(store)
    }

    /// Total size of the stored files in bytes, damaged ones included.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::SeqCst)
    }

    /// Stores a chunk and returns its digest. `epoch` is the volume's epoch as known
    /// to the writer.
    ///
    /// # Errors
    ///
    /// Fails if the disk is full, the volume is sealed for this epoch, a name is
    /// invalid, or on an I/O error.
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
        self.store_chunk(folder, bytes)
    }

    /// Stores a chunk that another holder copies to this disk and returns its digest.
    /// Seals do not apply to copies.
    ///
    /// # Errors
    ///
    /// Fails if the disk is full, a name is invalid, or on an I/O error.
    pub fn copy_in(&self, folder: &ChunkFolder, bytes: &[u8]) -> Result<String, StoreError> {
        self.store_chunk(folder, bytes)
    }

    /// Refuses further writes to a volume with an epoch up to `epoch`. Returns after
    /// the writes in progress have ended.
    pub fn seal(&self, volume: VolumeId, epoch: u64) {
        if let Ok(mut seals) = self.seals.write() {
            seals.insert(volume, epoch);
        }
    }

    /// Accepts writes to a volume again, after its move failed.
    pub fn unseal(&self, volume: VolumeId) {
        if let Ok(mut seals) = self.seals.write() {
            seals.remove(&volume);
        }
    }

    fn store_chunk(&self, folder: &ChunkFolder, bytes: &[u8]) -> Result<String, StoreError> {
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

    /// Writes a file under a temporary name and renames it once its bytes are synced.
    /// All folders on the path are synced before this returns.
    fn write_synced(&self, folder: &Path, name: &Path, bytes: &[u8]) -> io::Result<()> {
        create_synced(folder, &self.root)?;
        let number = self.next_part.fetch_add(1, Ordering::SeqCst);
        let part = folder.join(format!("{number}{PARTIAL_SUFFIX}"));
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

    /// Reads a chunk; none if it is missing or damaged.
    ///
    /// # Errors
    ///
    /// Fails if a name is invalid, or on an I/O error.
    pub fn read(&self, folder: &ChunkFolder, digest: &str) -> Result<Option<Vec<u8>>, StoreError> {
        if !is_safe_segment(digest) || digest.len() != DIGEST_LENGTH {
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
        // Renames the damaged file, so that an intact copy can be stored under the
        // chunk's name.
        fs::rename(&name, path.join(format!("{digest}{DAMAGED_SUFFIX}")))?;
        Ok(None)
    }

    /// Whether a chunk exists, without checking its bytes.
    #[must_use]
    pub fn has(&self, chunk: &ChunkName) -> bool {
        let folder = chunk.folder.path_in(&self.root);
        folder.is_some_and(|path| path.join(&chunk.digest).exists())
    }

    /// Lists all chunks of a volume.
    ///
    /// # Errors
    ///
    /// Returns an I/O error.
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

    /// Lists all upload folders with the times of their last modification.
    ///
    /// # Errors
    ///
    /// Returns an I/O error.
    pub fn folders_by_age(&self) -> Result<Vec<(ChunkFolder, SystemTime)>, StoreError> {
        let mut folders = Vec::new();
        for (folder, path) in self.folders()? {
            folders.push((folder, fs::metadata(&path)?.modified()?));
        }
        Ok(folders)
    }

    /// Removes an upload's folder with its chunks.
    ///
    /// # Errors
    ///
    /// Fails if a name is invalid, or on an I/O error.
    pub fn remove(&self, folder: &ChunkFolder) -> Result<(), StoreError> {
        let path = folder.path_in(&self.root).ok_or(StoreError::InvalidName)?;
        let mut freed = 0;
        for name in names_in(&path)? {
            freed += fs::metadata(path.join(name))?.len();
        }
        fs::remove_dir_all(&path)?;
        self.used.fetch_sub(freed, Ordering::SeqCst);
        // This succeeds only if the job's folder is empty, that is with the
        // job's last upload.
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
        Ok(text) if is_safe_segment(text.trim()) => Ok(DiskId(Arc::from(text.trim()))),
        Ok(_) => Err(io::Error::other(
            "the disk-id file does not contain a valid disk id",
        )),
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            let id = format!("{:016x}", rand::random::<u64>());
            let part = root.join(format!("{ID_FILE}{PARTIAL_SUFFIX}"));
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

/// Creates a folder and syncs every folder between the root and it.
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

/// The names in a folder; empty if the path is not an existing folder.
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
