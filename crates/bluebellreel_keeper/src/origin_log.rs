//! Append-only log of the records of streams.
//!
//! A record is acknowledged once it is on the disk. The checkpoint that holds all records is
//! too large to be written for each of them, so records are appended to a log, and all that
//! arrive during a write are written by the next one.
//!
//! The log has generations, which alternate between two files. A checkpoint names the
//! generation that began with it: logs of this generation or a later one are read after it.

use bluebellreel_origins::Origin;
use bluebellreel_snapshot::{read_slots, slot_bytes, write_slot};
use bluebellreel_types::Moment;
use log::{info, warn};
use std::fs::{File, OpenOptions};
use std::io::ErrorKind;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use tokio::sync::oneshot;

/// Files of the log; a generation is in the file of its parity.
const FILES: [&str; 2] = ["origins-log-a", "origins-log-b"];
/// Maximum number of records in one write.
const MAX_BATCH: usize = 1024;

fn path_of(folder: &Path, generation: u64) -> PathBuf {
    folder.join(FILES[usize::from(generation % 2 == 1)])
}

/// A record of a stream, with the time until which it is kept.
pub(crate) type Entry = (Origin, Moment);

/// Where the log ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LogEnd {
    pub(crate) generation: u64,
    /// Size of its readable part, in bytes.
    bytes: u64,
}

/// Reads the records of generation `first` and of later ones. Returns them with the log's
/// end.
pub(crate) fn read_log(folder: &Path, first: u64) -> (Vec<Entry>, LogEnd) {
    let mut entries = Vec::new();
    let mut end = LogEnd {
        generation: first,
        bytes: 0,
    };
    for generation in [first, first + 1] {
        let path = path_of(folder, generation);
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == ErrorKind::NotFound => continue,
            Err(e) => {
                warn!(target: "keeper", path:% = path.display(), error:% = e; "disk read failed");
                continue;
            }
        };
        let slots = read_slots(&bytes).take_while(|(sequence, _)| *sequence == generation);
        for (_, body) in slots {
            let size = u64::try_from(slot_bytes(body)).unwrap_or(u64::MAX);
            if end.generation < generation {
                end = LogEnd {
                    generation,
                    bytes: 0,
                };
            }
            end.bytes += size;
            match postcard::from_bytes::<Vec<Entry>>(body) {
                Ok(read) => entries.extend(read),
                Err(e) => {
                    warn!(target: "keeper", path:% = path.display(), error:% = e; "snapshot not read");
                }
            }
        }
    }
    (entries, end)
}

/// A record to append.
struct Append {
    generation: u64,
    entry: Entry,
    /// Receives whether the record is on the disk.
    done: oneshot::Sender<bool>,
}

/// Appends records on a separate thread.
pub(crate) struct OriginLog {
    requests: Sender<Append>,
}

impl OriginLog {
    /// Starts the thread, which continues the log at `end`.
    pub(crate) fn start(folder: PathBuf, end: LogEnd) -> Self {
        let (requests, queue) = channel();
        thread::spawn(move || LogFile::new(folder, end).append_all(&queue));
        Self { requests }
    }

    /// Appends a record. Returns whether it is on the disk.
    pub(crate) async fn append(&self, generation: u64, entry: Entry) -> bool {
        let (done, is_written) = oneshot::channel();
        let request = Append {
            generation,
            entry,
            done,
        };
        self.requests.send(request).is_ok() && is_written.await.unwrap_or(false)
    }
}

/// The file of the present generation.
struct LogFile {
    folder: PathBuf,
    end: LogEnd,
    file: Option<File>,
    is_failing: bool,
}

impl LogFile {
    fn new(folder: PathBuf, end: LogEnd) -> Self {
        Self {
            folder,
            end,
            file: None,
            is_failing: false,
        }
    }

    fn append_all(mut self, queue: &Receiver<Append>) {
        let mut next = queue.recv().ok();
        while let Some(first) = next.take() {
            let generation = first.generation;
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH
                && let Ok(request) = queue.try_recv()
            {
                if request.generation != generation {
                    next = Some(request);
                    break;
                }
                batch.push(request);
            }
            let (entries, waiting): (Vec<Entry>, Vec<_>) =
                batch.into_iter().map(|r| (r.entry, r.done)).unzip();
            let is_written = self.write(generation, &entries);
            for done in waiting {
                // The call that waited may have been given up.
                let _ = done.send(is_written);
            }
            if next.is_none() {
                next = queue.recv().ok();
            }
        }
    }

    fn write(&mut self, generation: u64, entries: &Vec<Entry>) -> bool {
        let result = self.try_write(generation, entries);
        let failed = result.is_err();
        if failed {
            self.file = None;
        }
        match result {
            Err(e) if !self.is_failing => {
                warn!(target: "keeper", records = entries.len(), error:% = e; "disk write failed");
            }
            Ok(()) if self.is_failing => {
                info!(target: "keeper", records = entries.len(); "disk responds again");
            }
            _ => {}
        }
        self.is_failing = failed;
        !failed
    }

    fn try_write(&mut self, generation: u64, entries: &Vec<Entry>) -> std::io::Result<()> {
        if self.end.generation != generation {
            self.end = LogEnd {
                generation,
                bytes: 0,
            };
            self.file = None;
        }
        if self.file.is_none() {
            self.file = Some(self.open()?);
        }
        let body = postcard::to_allocvec(entries).map_err(std::io::Error::other)?;
        let slot = write_slot(generation, &body);
        if let Some(file) = &self.file {
            // After a failed write, the next one starts at the same place.
            file.write_all_at(&slot, self.end.bytes)?;
            file.sync_data()?;
        }
        self.end.bytes += u64::try_from(slot.len()).unwrap_or(u64::MAX);
        Ok(())
    }

    /// Opens the file of the present generation, without anything after the log's end.
    fn open(&self) -> std::io::Result<File> {
        let path = path_of(&self.folder, self.end.generation);
        let is_new = !path.exists();
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)?;
        file.set_len(self.end.bytes)?;
        if is_new {
            File::open(&self.folder)?.sync_all()?;
        }
        Ok(file)
    }
}
