//! Removes chunks of interrupted uploads and jobs past their retention period.
//!
//! A sweep may be interrupted and repeated at any point: it removes only chunks
//! that no record refers to, and deletes a job's record last.

use crate::handles::DaemonHandles;
use crate::jobs::store::{JobStorage, find_job};
use crate::jobs::timestamps::{day_of, upload_started_at};
use crate::platform::{
    STOPPED, done_key, ended_prefix, entry_prefix, input_prefix, item_claim_prefix, output_prefix,
    uploads_prefix,
};
use bluebellreel_chunk::{ChunkFolder, ChunkStore};
use bluebellreel_kv::{Key, KvClient, KvError};
use bluebellreel_types::{JobId, Moment};
use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, SystemTime};

/// Interval between two passes.
const SWEEP_PERIOD: Duration = Duration::from_mins(10);
/// Interval at which the sweeper checks whether the daemon has stopped.
const STOP_POLL_PERIOD: Duration = Duration::from_secs(1);
/// Age at which an upload without a record counts as abandoned.
pub(crate) const ABANDONED_UPLOAD_AGE: Duration = Duration::from_hours(1);
/// Maximum number of keys read in one pass.
const MAX_KEYS_PER_PASS: usize = 2_000;
/// Maximum number of a disk's folders checked in one pass.
const MAX_FOLDERS_PER_PASS: usize = 500;
/// Timeout for one removal.
const REMOVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Positions at which the next pass continues.
#[derive(Debug, Default)]
pub(crate) struct Sweeper {
    next_input: Option<Key>,
    next_folder: usize,
}

/// Starts the thread that sweeps periodically until the daemon stops.
pub(crate) fn start_sweeper(handles: &DaemonHandles) -> io::Result<()> {
    let handles = handles.clone();
    thread::Builder::new()
        .name("job-sweep".into())
        .spawn(move || {
            let mut sweeper = Sweeper::default();
            let mut due = handles.clock.now() + SWEEP_PERIOD;
            while handles.lease.load(Ordering::SeqCst) != STOPPED {
                thread::sleep(STOP_POLL_PERIOD);
                if due.is_past(handles.clock.now()) {
                    due = handles.clock.now() + SWEEP_PERIOD;
                    if let Err(e) = sweeper.run_pass(&handles) {
                        log::warn!(target: "jobs", error:% = e; "Sweep interrupted; the next pass continues.");
                    }
                }
            }
        })?;
    Ok(())
}

impl Sweeper {
    fn run_pass(&mut self, handles: &DaemonHandles) -> Result<(), KvError> {
        let now = handles.clock.now();
        // Only the first daemon by name sweeps the key-value service. It does no
        // harm if two daemons each find themselves first.
        if is_first(handles)? {
            self.sweep_uploads(handles.storage(), now)?;
            sweep_ended(&handles.kv, handles.settings.limits.job_retention, now)?;
        }
        if let Some(own) = handles.data.own() {
            self.sweep_disk(&handles.kv, own)?;
        }
        Ok(())
    }

    /// Removes input chunks of abandoned uploads from the key-value service.
    pub(crate) fn sweep_uploads(
        &mut self,
        storage: JobStorage<'_>,
        now: Moment,
    ) -> Result<usize, KvError> {
        let prefix = uploads_prefix();
        let start = self.next_input.take().unwrap_or_else(|| prefix.clone());
        let (page, more) =
            storage
                .kv
                .range_page(&start, &prefix.prefix_end(), MAX_KEYS_PER_PASS, true)?;
        let mut uploads: Vec<(JobId, String)> = page.iter().filter_map(upload_of).collect();
        uploads.dedup();
        let mut removed = 0;
        for (job, upload) in uploads {
            if is_abandoned(storage.kv, &job, &upload, now)? {
                log::info!(target: "jobs", job:% = job; "Removing chunks of an interrupted upload.");
                let prefix = input_prefix(&job, &upload);
                storage
                    .kv
                    .delete_prefix(&prefix, storage.kv.now() + REMOVE_TIMEOUT)?;
                removed += 1;
            }
        }
        self.next_input = match page.last() {
            Some(last) if more => Some(Key::from(format!("{}\0", last.key))),
            _ => None,
        };
        Ok(removed)
    }

    /// Removes folders of abandoned uploads from this VM's disk.
    fn sweep_disk(&mut self, kv: &KvClient, own: &ChunkStore) -> Result<(), KvError> {
        let folders = own.folders_by_age();
        let mut folders = folders.map_err(|e| KvError::NotDone(e.to_string()))?;
        folders.sort();
        if self.next_folder >= folders.len() {
            self.next_folder = 0;
        }
        let batch = folders
            .into_iter()
            .skip(self.next_folder)
            .take(MAX_FOLDERS_PER_PASS);
        for (folder, written_at) in batch {
            self.next_folder += 1;
            if is_old(written_at) && !is_referenced(kv, &folder)? {
                log::info!(target: "data", job:% = folder.job; "Removing chunks that no job refers to.");
                if let Err(e) = own.remove(&folder) {
                    log::error!(target: "data", error:% = e; "Failed to remove chunks.");
                }
            }
        }
        Ok(())
    }
}

fn is_first(handles: &DaemonHandles) -> Result<bool, KvError> {
    let prefix = entry_prefix();
    let (first, _) = handles
        .kv
        .range_page(&prefix, &prefix.prefix_end(), 1, true)?;
    let me = crate::platform::entry_key(&handles.settings.name);
    Ok(first.first().is_some_and(|found| found.key == me))
}

/// The job and upload in the key of an input chunk.
fn upload_of(kv: &bluebellreel_kv::KeyValue) -> Option<(JobId, String)> {
    let mut segments = kv.key.as_str().split('/').skip(1);
    Some((JobId::from(segments.next()?), segments.next()?.to_owned()))
}

fn is_abandoned(kv: &KvClient, job: &JobId, upload: &str, now: Moment) -> Result<bool, KvError> {
    let Some(upload_started_at) = upload_started_at(upload) else {
        return Ok(false);
    };
    if !(upload_started_at + ABANDONED_UPLOAD_AGE).is_past(now) {
        return Ok(false);
    }
    let found = find_job(kv, job)?;
    Ok(found.is_none_or(|found| found.record.upload != upload))
}

fn is_old(written_at: SystemTime) -> bool {
    written_at
        .elapsed()
        .is_ok_and(|age| age > ABANDONED_UPLOAD_AGE)
}

fn is_referenced(kv: &KvClient, folder: &ChunkFolder) -> Result<bool, KvError> {
    let found = find_job(kv, &JobId::from(&*folder.job))?;
    Ok(found.is_some_and(|found| *found.record.upload == *folder.upload))
}

/// Removes jobs that ended longer ago than `keep`. Returns the number of end
/// markers that were processed.
pub(crate) fn sweep_ended(kv: &KvClient, keep: Duration, now: Moment) -> Result<usize, KvError> {
    let keep_days = keep.as_secs() / 86_400;
    // The day on which a job ended does not count towards its retention.
    let Some(last) = day_of(now).checked_sub(keep_days + 1) else {
        return Ok(0);
    };
    let start = ended_prefix(0);
    let end = ended_prefix(last).prefix_end();
    let (page, _) = kv.range_page(&start, &end, MAX_KEYS_PER_PASS, true)?;
    for found in &page {
        let Some(id) = found.key.as_str().split('/').nth(2) else {
            continue;
        };
        remove_if_old(kv, &JobId::from(id), last)?;
        kv.delete_prefix(&found.key, kv.now() + REMOVE_TIMEOUT)?;
    }
    Ok(page.len())
}

/// Removes a job if it ended on the day `last` or earlier.
///
/// A sweep that is interrupted after it has deleted the record leaves the end
/// marker behind. If the caller has reused the idempotency key since, the new job
/// has the same id and must not be removed because of the old marker.
fn remove_if_old(kv: &KvClient, id: &JobId, last: u64) -> Result<(), KvError> {
    let Some(found) = find_job(kv, id)? else {
        return Ok(());
    };
    let ended = found.record.ended_at;
    if ended.is_none_or(|ended_at| day_of(ended_at) > last) {
        return Ok(());
    }
    log::info!(target: "jobs", job:% = id; "Job removed: retention period ended.");
    let inputs = input_prefix(id, &found.record.upload);
    let all = [
        output_prefix(id),
        item_claim_prefix(id),
        inputs,
        done_key(id),
    ];
    for prefix in all {
        kv.delete_prefix(&prefix, kv.now() + REMOVE_TIMEOUT)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::data::ChunkAccess;
    use crate::jobs::timestamps::{DAY_MICROS, upload_name};
    use crate::jobs::upload::{AcceptAnswer, Submission, accept_job};
    use crate::jobs::{CancelAnswer, cancel_job};
    use crate::platform::input_key;
    use bluebellreel_kv::{Commit, KvSettings, Txn};
    use bluebellreel_standins::KvCalls;
    use bluebellreel_types::{Clock, EntryName, Incarnation, TeamName};
    use std::sync::Mutex;

    const LINE: &[u8] = br#"{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[{"role":"user","content":"a"}]}}"#;
    const KEEP: Duration = Duration::from_hours(24 * 2);

    /// Prefix of all input chunks of a job.
    fn job_inputs(id: &JobId) -> Key {
        Key::from(format!("in/{id}/"))
    }

    struct Fixture {
        kv: KvClient,
        data: ChunkAccess,
        clock: Clock,
    }

    impl Fixture {
        fn new() -> Self {
            let clock = Clock::manual_at(Moment(20_000 * DAY_MICROS));
            let calls = Mutex::new(KvCalls::new(1 << 20));
            let time = clock.clone();
            let send = move |path: &str, body: &serde_json::Value| {
                let mut calls = calls.lock().expect("no test thread panicked");
                calls.call(path, body, time.now()).map_err(KvError::Refused)
            };
            let settings = KvSettings {
                url: String::new(),
                call_timeout: Duration::from_secs(1),
                calls_per_second: 1_000_000,
            };
            let kv =
                KvClient::with_transport(Box::new(send), settings, Incarnation(1), clock.clone());
            let data = ChunkAccess::default();
            Self { kv, data, clock }
        }

        fn storage(&self) -> JobStorage<'_> {
            JobStorage {
                kv: &self.kv,
                data: &self.data,
            }
        }

        fn submit(&self, key: &str) -> JobId {
            let team = TeamName::from("school");
            let submission = Submission {
                id: JobId::derived(&team, key),
                team,
                deadline: self.clock.now() + Duration::from_hours(1),
                accepted_at: self.clock.now(),
                owner: EntryName::from("e"),
                owner_run: Incarnation(1),
                max_items: 10,
            };
            let mut body = Some(LINE.to_vec());
            let answer = accept_job(self.storage(), &submission, || Ok(()), || Ok(body.take()));
            assert!(
                matches!(answer, Ok(AcceptAnswer::Accepted(..))),
                "{answer:?}"
            );
            submission.id
        }

        /// Leaves the chunk of an upload whose daemon crashed before the record was created.
        fn interrupted_upload(&self, key: &str) -> JobId {
            let job = JobId::derived(&TeamName::from("school"), key);
            let upload = upload_name(self.clock.now());
            let txn = Txn::create(input_key(&job, &upload, 0), b"half a job".to_vec());
            let commit = self
                .kv
                .commit(&txn, self.clock.now() + ABANDONED_UPLOAD_AGE);
            assert!(matches!(commit, Commit::Applied { .. }));
            job
        }

        fn inputs(&self, job: &JobId) -> usize {
            self.kv.list(&job_inputs(job)).expect("listed").0.len()
        }

        fn sweep(&self) {
            let now = self.clock.now();
            let mut sweeper = Sweeper::default();
            sweeper.sweep_uploads(self.storage(), now).expect("swept");
            sweep_ended(&self.kv, KEEP, now).expect("swept");
        }
    }

    /// A daemon crashed during an upload. The sweep removes the upload's chunks, but
    /// neither those of a recent upload, which may still be in progress, nor those
    /// of an accepted job.
    #[test]
    fn only_abandoned_uploads_are_removed() {
        let fixture = Fixture::new();
        let dead = fixture.interrupted_upload("dead");
        let accepted = fixture.submit("accepted");
        fixture
            .clock
            .advance(ABANDONED_UPLOAD_AGE + Duration::from_secs(1));
        let recent = fixture.interrupted_upload("recent");
        fixture.sweep();
        assert_eq!(fixture.inputs(&dead), 0);
        assert_eq!(fixture.inputs(&recent), 1);
        assert_eq!(fixture.inputs(&accepted), 1);
    }

    /// A resend of an accepted job was interrupted: same job, another upload. Only
    /// the resend's chunks are removed.
    #[test]
    fn chunks_of_the_accepted_upload_stay() {
        let fixture = Fixture::new();
        let job = fixture.submit("twice");
        fixture.interrupted_upload("twice");
        assert_eq!(fixture.inputs(&job), 2);
        fixture
            .clock
            .advance(ABANDONED_UPLOAD_AGE + Duration::from_secs(1));
        fixture.sweep();
        assert_eq!(fixture.inputs(&job), 1);
    }

    /// An ended job stays readable for the retention period and is removed after
    /// it. A running job is never removed, whatever its age.
    #[test]
    fn ended_jobs_are_removed_after_retention_and_running_ones_never() {
        let fixture = Fixture::new();
        let (ended, running) = (fixture.submit("ended"), fixture.submit("running"));
        let answer = cancel_job(fixture.storage(), &ended, fixture.clock.now());
        assert!(matches!(answer, CancelAnswer::Over(_)));
        fixture.clock.advance(KEEP);
        fixture.sweep();
        assert!(find_job(&fixture.kv, &ended).expect("read").is_some());
        fixture.clock.advance(Duration::from_hours(24));
        fixture.sweep();
        assert!(find_job(&fixture.kv, &ended).expect("read").is_none());
        assert_eq!(fixture.inputs(&ended), 0);
        assert!(find_job(&fixture.kv, &running).expect("read").is_some());
        assert_eq!(fixture.inputs(&running), 1);
    }

    /// A sweep was interrupted after it had deleted a job's record, but not its end
    /// marker. The caller reused the key; the next sweep found the marker and
    /// deleted data of the new, running job.
    #[test]
    fn reused_key_loses_nothing_to_an_interrupted_sweep() {
        let fixture = Fixture::new();
        let job = fixture.submit("again");
        let answer = cancel_job(fixture.storage(), &job, fixture.clock.now());
        assert!(matches!(answer, CancelAnswer::Over(_)));
        fixture.clock.advance(KEEP + Duration::from_hours(24));
        for gone in [job_inputs(&job), done_key(&job)] {
            let until = fixture.clock.now() + REMOVE_TIMEOUT;
            fixture.kv.delete_prefix(&gone, until).expect("removed");
        }
        assert_eq!(fixture.submit("again"), job, "the same id");
        fixture.sweep();
        assert!(find_job(&fixture.kv, &job).expect("read").is_some());
        assert_eq!(fixture.inputs(&job), 1);
    }
}
