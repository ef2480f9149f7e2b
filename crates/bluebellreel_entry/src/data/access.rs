//! Writes and reads chunks on this daemon's disk and on those of its peers.

use crate::data::volume_map::VolumeMap;
use crate::data::wire::{COPY_HEADER, EPOCH_HEADER, MAX_CHUNK_BYTES, chunk_path};
use crate::platform::EntryRecord;
use bluebellreel_chunk::{
    ChunkFolder, ChunkName, ChunkStore, DiskId, StoreError, StoreLimits, VolumeId, VolumeRecord,
};
use bluebellreel_job::{HeldChunk, JobRecord};
use bluebellreel_settings::DataSettings;
use bluebellreel_types::{Clock, EntryName, Moment, content_digest};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::thread;
use std::time::Duration;

/// Timeout for transferring one chunk to or from a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of volumes tried for one chunk.
const MAX_PUT_ATTEMPTS: usize = 4;

/// Why a chunk could not be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PutError {
    /// Every volume with two live holders has a full disk.
    Full,
    /// No volume accepted the chunk on both its holders.
    NoHolders,
}

/// Access to chunks on disks; disabled by default.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChunkAccess(Option<Arc<Inner>>);

#[derive(Debug)]
struct Inner {
    volume_map: RwLock<VolumeMap>,
    own: Option<ChunkStore>,
    settings: DataSettings,
    agent: ureq::Agent,
    clock: Clock,
    next_index: AtomicUsize,
}

impl ChunkAccess {
    /// Opens this daemon's disk, if it has one.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be used.
    pub(crate) fn open(settings: Option<&DataSettings>, clock: &Clock) -> eyre::Result<Self> {
        let Some(settings) = settings else {
            return Ok(Self::default());
        };
        let limits = StoreLimits {
            bytes: settings.bytes,
        };
        let folder = settings.folder.as_ref();
        let own = folder.map(|f| ChunkStore::open(f, limits)).transpose()?;
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Ok(Self(Some(Arc::new(Inner {
            volume_map: RwLock::default(),
            own,
            settings: settings.clone(),
            agent: config.new_agent(),
            clock: clock.clone(),
            next_index: AtomicUsize::new(rand::random::<u16>().into()),
        }))))
    }

    pub(crate) fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// This daemon's disk.
    pub(crate) fn own(&self) -> Option<&ChunkStore> {
        self.0.as_ref()?.own.as_ref()
    }

    pub(crate) fn settings(&self) -> Option<&DataSettings> {
        Some(&self.0.as_ref()?.settings)
    }

    pub(crate) fn volume_map(&self) -> Option<RwLockReadGuard<'_, VolumeMap>> {
        self.0.as_ref()?.volume_map.read().ok()
    }

    pub(crate) fn volume_map_mut(&self) -> Option<RwLockWriteGuard<'_, VolumeMap>> {
        self.0.as_ref()?.volume_map.write().ok()
    }

    pub(crate) fn now(&self) -> Moment {
        let clock = self.0.as_ref().map(|inner| inner.clock.now());
        clock.unwrap_or(Moment(0))
    }

    /// Records a live daemon and its disk.
    pub(crate) fn note_daemon(&self, record: &EntryRecord) {
        let now = self.now();
        if let Some(mut volume_map) = self.volume_map_mut() {
            volume_map.note_daemon(record, now);
        }
    }

    /// Records that a daemon's lease has ended.
    pub(crate) fn note_daemon_gone(&self, name: &EntryName) {
        let now = self.now();
        if let Some(mut volume_map) = self.volume_map_mut() {
            volume_map.note_daemon_gone(name, now);
        }
    }

    /// Whether a chunk of this size is stored on disks. Small chunks stay in the
    /// key-value service, where they cost one write and little space; on disks
    /// they would cost two calls and several syncs.
    pub(crate) fn stores_on_disk(&self, bytes: usize) -> bool {
        let settings = self.settings();
        settings.is_some_and(|settings| bytes >= settings.kv_threshold)
    }

    /// Stores a chunk on both holders of a volume. Returns only after both have it on
    /// their disks.
    pub(crate) fn put(&self, job: &str, upload: &str, bytes: &[u8]) -> Result<HeldChunk, PutError> {
        let Some(inner) = &self.0 else {
            return Err(PutError::NoHolders);
        };
        for _ in 0..MAX_PUT_ATTEMPTS {
            let Some(volume) = inner.next_volume()? else {
                return Err(PutError::NoHolders);
            };
            let folder = ChunkFolder::new(volume.id, job, upload);
            if inner.put_on_both(&volume, &folder, bytes) {
                return Ok(HeldChunk {
                    volume: volume.id,
                    digest: content_digest(bytes),
                    bytes: bytes.len() as u64,
                });
            }
        }
        inner.next_volume()?;
        Err(PutError::NoHolders)
    }

    /// Reads a chunk from any holder that has it undamaged, this daemon's disk first.
    pub(crate) fn get(&self, record: &JobRecord, chunk: &HeldChunk) -> Option<Vec<u8>> {
        let inner = self.0.as_ref()?;
        let folder = ChunkFolder::new(chunk.volume, record.id.as_str(), &record.upload);
        let name = ChunkName {
            folder,
            digest: chunk.digest.clone(),
        };
        if let Some(bytes) = inner.read_own(&name) {
            return Some(bytes);
        }
        for (disk, address) in inner.holders_of(chunk.volume) {
            if let Some(bytes) = inner.fetch(address, &name) {
                inner.repair_own(&name, &bytes);
                return Some(bytes);
            }
            log::warn!(target: "data", disk:% = disk, volume:% = chunk.volume; "Chunk not available from this holder.");
        }
        None
    }

    /// Copies a chunk from this daemon's disk to another. Returns whether the copy is
    /// done; a damaged chunk is skipped and counts as done.
    pub(crate) fn copy_to(&self, address: SocketAddr, chunk: &ChunkName) -> bool {
        let Some(inner) = &self.0 else { return false };
        let Some(bytes) = inner.read_own(chunk) else {
            // The chunk is damaged here and the other holder is gone. It is not
            // copied, so that readers find it missing instead of reading wrong
            // bytes.
            log::error!(target: "data", chunk:% = chunk.digest; "Chunk is damaged and cannot be copied.");
            return true;
        };
        let sent = inner.send(address, &chunk.folder, &chunk.digest, None, &bytes);
        matches!(sent, SendResult::Stored)
    }
}

/// The result of sending a chunk to a disk.
enum SendResult {
    Stored,
    Full,
    Refused,
}

impl Inner {
    /// The next volume to write to, `None` if no volume has two live holders.
    fn next_volume(&self) -> Result<Option<VolumeRecord>, PutError> {
        let Ok(volume_map) = self.volume_map.read() else {
            return Ok(None);
        };
        let mut writable = volume_map.writable(self.clock.now());
        if writable.is_empty() {
            return if volume_map.is_blocked_by_full_disks() {
                Err(PutError::Full)
            } else {
                Ok(None)
            };
        }
        let next_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        Ok(Some(writable.swap_remove(next_index % writable.len())))
    }

    fn put_on_both(&self, volume: &VolumeRecord, folder: &ChunkFolder, bytes: &[u8]) -> bool {
        let [one, other] = &volume.holders;
        thread::scope(|scope| {
            let first = scope.spawn(|| self.put_on(one, volume.epoch, folder, bytes));
            let second = self.put_on(other, volume.epoch, folder, bytes);
            first.join().unwrap_or(false) && second
        })
    }

    fn put_on(&self, disk: &DiskId, epoch: u64, folder: &ChunkFolder, bytes: &[u8]) -> bool {
        let sent = match &self.own {
            Some(own) if own.id == *disk => match own.write(folder, epoch, bytes) {
                Ok(_) => SendResult::Stored,
                Err(StoreError::Full) => SendResult::Full,
                Err(e) => {
                    log::warn!(target: "data", error:% = e; "Chunk could not be stored on the local disk.");
                    SendResult::Refused
                }
            },
            _ => match self.address_of(disk) {
                Some(address) => {
                    let digest = content_digest(bytes);
                    self.send(address, folder, &digest, Some(epoch), bytes)
                }
                None => SendResult::Refused,
            },
        };
        if matches!(sent, SendResult::Full)
            && let Ok(mut volume_map) = self.volume_map.write()
        {
            log::error!(target: "data", disk:% = disk; "A disk is full.");
            volume_map.note_full(disk, self.clock.now());
        }
        matches!(sent, SendResult::Stored)
    }

    fn address_of(&self, disk: &DiskId) -> Option<SocketAddr> {
        let volume_map = self.volume_map.read().ok()?;
        let disk_status = volume_map.disks.get(disk)?;
        disk_status
            .gone_since
            .is_none()
            .then_some(disk_status.address)
    }

    /// The volume's live holders other than this daemon's disk.
    fn holders_of(&self, volume: VolumeId) -> Vec<(DiskId, SocketAddr)> {
        let holders = self.volume_map.read().ok().and_then(|volume_map| {
            let known = volume_map.volumes.get(&volume)?;
            Some(known.record.holders.clone())
        });
        let own = self.own.as_ref().map(|own| &own.id);
        let others = holders.into_iter().flatten();
        others
            .filter(|disk| Some(disk) != own)
            .filter_map(|disk| Some((disk.clone(), self.address_of(&disk)?)))
            .collect()
    }

    fn read_own(&self, chunk: &ChunkName) -> Option<Vec<u8>> {
        match self.own.as_ref()?.read(&chunk.folder, &chunk.digest) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!(target: "data", error:% = e; "Local disk cannot be read.");
                None
            }
        }
    }

    /// Restores a chunk that was damaged or missing on this daemon's disk.
    fn repair_own(&self, chunk: &ChunkName, bytes: &[u8]) {
        let Some(own) = &self.own else { return };
        let holds = self.volume_map.read().is_ok_and(|volume_map| {
            let known = volume_map.volumes.get(&chunk.folder.volume);
            known.is_some_and(|v| v.record.holders.contains(&own.id))
        });
        if holds {
            log::warn!(target: "data", chunk:% = chunk.digest; "Restoring chunk from its other holder.");
            own.copy_in(&chunk.folder, bytes).ok();
        }
    }

    fn fetch(&self, address: SocketAddr, chunk: &ChunkName) -> Option<Vec<u8>> {
        let url = format!(
            "http://{address}{}",
            chunk_path(&chunk.folder, &chunk.digest)
        );
        let mut answer = self
            .agent
            .get(url)
            .header("Authorization", self.bearer())
            .call()
            .ok()?;
        if answer.status().as_u16() != 200 {
            return None;
        }
        let limited = answer
            .body_mut()
            .with_config()
            .limit(MAX_CHUNK_BYTES as u64);
        let bytes = limited.read_to_vec().ok()?;
        (content_digest(&bytes) == chunk.digest).then_some(bytes)
    }

    fn send(
        &self,
        address: SocketAddr,
        folder: &ChunkFolder,
        digest: &str,
        epoch: Option<u64>,
        bytes: &[u8],
    ) -> SendResult {
        let url = format!("http://{address}{}", chunk_path(folder, digest));
        let call = self.agent.put(url).header("Authorization", self.bearer());
        let call = match epoch {
            Some(epoch) => call.header(EPOCH_HEADER, epoch.to_string()),
            None => call.header(COPY_HEADER, "1"),
        };
        match call.send(bytes).map(|answer| answer.status().as_u16()) {
            Ok(204) => SendResult::Stored,
            Ok(507) => SendResult::Full,
            Ok(status) => {
                log::warn!(target: "data", volume:% = folder.volume, status; "Peer refused a chunk.");
                SendResult::Refused
            }
            Err(e) => {
                log::warn!(target: "data", volume:% = folder.volume, error:% = e; "Chunk could not be sent to a peer.");
                SendResult::Refused
            }
        }
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.settings.peer_token)
    }
}
