//! Large jobs whose chunks are on disks of VMs that are lost, damaged or full.

use bluebellreel_site::{DiskPlan, Site, SitePlan, chat_line, wait_until};
use bluebellreel_standins::{EngineCosts, expected_answer};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

const MODEL: &str = "rental-assistant";
/// Volumes of a site with three disks; each volume is held by two disks.
const VOLUMES: u64 = 24;

/// Environment variable that makes a test print the daemons' logs.
const LOG_VARIABLE: &str = "BLUEBELLREEL_TEST_LOG";

/// Starts three daemons with disks in three data centres, and a fourth without a disk.
fn start_site(max_mb: u64) -> Site {
    if std::env::var_os(LOG_VARIABLE).is_some() {
        // Fails if an earlier test of this process has started logging.
        let _ = bluebellreel_telemetry::start_json_logging(
            log::LevelFilter::Info,
            &["data", "jobs", "kv", "router", "rpc", "side", "http"],
            std::io::stderr(),
        );
    }
    let site = Site::start(&SitePlan {
        entries: 4,
        lease_s: 2,
        disks: DiskPlan {
            daemons: 3,
            kv_below_kb: 0,
            max_mb,
        },
        costs: EngineCosts {
            base: Duration::from_millis(5),
            ..EngineCosts::default()
        },
        entry_settings: "[limits]\nonline_per_worker = 0\n".into(),
        ..SitePlan::default()
    })
    .expect("a site");
    // Until a daemon has discovered the disks it writes chunks to the key-value service.
    wait_until(|| {
        let seen = volumes(&site, 3);
        seen["volumes"] == VOLUMES && seen["on_one_disk"] == 0 && seen["unreadable"] == 0
    });
    site
}

fn volumes(site: &Site, entry: usize) -> Value {
    let operator = site.operator(entry);
    let Ok((200, text)) = operator.send("GET", "/operator/v1/outcomes", &[], b"") else {
        return Value::Null;
    };
    let view: Value = serde_json::from_str(&text).expect("JSON");
    view["items_finish_once"]["volumes"].clone()
}

fn prompt(number: u32) -> String {
    format!("note {number} {}", "x".repeat(1_500))
}

fn lines(items: u32) -> Vec<String> {
    let line = |n| chat_line(&format!("note-{n}"), MODEL, &prompt(n), 4);
    (0..items).map(line).collect()
}

/// Bytes stored in the key-value service, by the first segment of the key.
fn kv_space(site: &Site) -> BTreeMap<String, u64> {
    let url = format!("{}/stand-in/space", site.kv.url());
    let mut answer = ureq::get(&url).call().expect("an answer");
    answer.body_mut().read_json().expect("JSON")
}

fn assert_all_results(site: &Site, entry: usize, job: &str, items: u32) {
    let results = site.caller(entry).results(job).expect("results");
    let by_name: BTreeMap<&str, &str> = results
        .iter()
        .filter_map(|line| {
            Some((
                line.custom_id.as_str(),
                line.response.as_ref()?.body.as_str(),
            ))
        })
        .collect();
    assert_eq!(results.len(), items as usize, "each item once");
    for n in 0..items {
        let expected = expected_answer(&prompt(n), 4);
        assert_eq!(by_name.get(&*format!("note-{n}")), Some(&&*expected));
    }
}

/// A VM is lost with its disk, which holds notes of a running job, and a second one some
/// seconds later. Each time the other holder has every chunk, and chunks left with one
/// holder are replicated in between. No accepted item may be lost.
#[test]
fn jobs_survive_two_disks_lost_one_after_the_other() {
    let items = 4_000;
    let mut site = start_site(64);
    let cancelled = cancelled_job(&site, items);
    let job = submit(&site, "disks", items);
    assert_eq!(kv_space(&site).get("in"), None, "the notes are on disks");
    lose_disk(&mut site, 0);
    // Wait until the loss is detected and then until every chunk has two holders again, so
    // that the second loss leaves a copy.
    wait_until(|| volumes(&site, 3)["on_one_disk"] != 0);
    wait_until(|| volumes(&site, 3)["on_one_disk"] == 0);
    let over = site.caller(3).wait(&job, Duration::from_mins(1));
    let over = over.unwrap_or_else(|e| panic!("{e}: {}", job_report(&site, &job, items)));
    assert_eq!(over.request_counts.completed, items);
    let space = kv_space(&site);
    assert!(
        space["out"] < u64::from(items) * 20,
        "results are on disks: {space:?}"
    );
    lose_disk(&mut site, 1);
    assert_all_results(&site, 3, &job, items);
    assert_all_results(&site, 2, &job, items);
    assert_all_ids(&site, &cancelled, items);
}

/// A disk fails while jobs are submitted. A chunk stored only by the other holder must not
/// be acknowledged, as that VM may be lost next.
#[test]
fn chunk_on_one_disk_only_is_not_acknowledged() {
    let items = 4_000;
    let mut site = start_site(64);
    let broken = site.disk_folder(1);
    fs::remove_dir_all(&broken).expect("it had a folder");
    fs::write(&broken, b"not a folder").expect("written");
    let cancelled = cancelled_job(&site, items);
    lose_disk(&mut site, 0);
    assert_all_ids(&site, &cancelled, items);
}

/// Describes a job that did not finish in time, as its caller and each running daemon see
/// it, for the failure message.
fn job_report(site: &Site, job: &str, items: u32) -> String {
    let view = site.caller(3).job(job);
    let results = site.caller(3).results(job).unwrap_or_default();
    let recorded: BTreeSet<&str> = results.iter().map(|l| l.custom_id.as_str()).collect();
    let names = (0..items).map(|n| format!("note-{n}"));
    let missing: Vec<String> = names.filter(|n| !recorded.contains(n.as_str())).collect();
    let mut report = format!("{view:?}\n{} not recorded: {missing:?}\n", missing.len());
    for entry in (0..site.entries.len()).filter(|at| site.entries[*at].is_some()) {
        let outcomes = site.outcomes(entry).unwrap_or_default();
        let _ = writeln!(report, "entry-{entry}: {outcomes}");
    }
    report
}

fn submit(site: &Site, key: &str, items: u32) -> String {
    let job = site.caller(3).submit(key, &lines(items));
    job.expect("accepted").id
}

/// Submits a job and cancels it at once. Its results then list the ids of the items, which
/// the daemon reads from the stored input.
fn cancelled_job(site: &Site, items: u32) -> String {
    let job = submit(site, "cancelled", items);
    let path = format!("/v1/batches/{job}/cancel");
    let (status, text) = site
        .caller(3)
        .send("POST", &path, &[], b"")
        .expect("an answer");
    assert_eq!(status, 200, "{text}");
    job
}

fn assert_all_ids(site: &Site, job: &str, items: u32) {
    let results = site.caller(3).results(job).expect("results");
    let names: BTreeSet<&str> = results.iter().map(|line| line.custom_id.as_str()).collect();
    assert_eq!(results.len(), items as usize, "each item once");
    assert_eq!(names.len(), items as usize, "each by its name");
}

/// Stops a daemon and deletes its disk folder.
fn lose_disk(site: &mut Site, entry: usize) {
    site.stop_entry(entry).expect("it was up");
    fs::remove_dir_all(site.disk_folder(entry)).expect("it had a folder");
}

/// A disk returns other bytes than were written. The daemon must not deliver them: it reads
/// the chunk from the other holder and restores the local copy.
#[test]
fn damaged_chunks_are_read_from_the_other_holder() {
    let items = 300;
    let site = start_site(64);
    let job = job_with_results_on(&site, 0, items);
    let damaged = chunk_files(&site.disk_folder(0));
    assert!(!damaged.is_empty(), "the disk holds some chunks");
    for path in &damaged {
        fs::write(path, b"rubbish").expect("written");
    }
    assert_all_results(&site, 0, &job, items);
    // The job's result chunks are restored; its input chunks are not read any more.
    let restored = damaged
        .iter()
        .filter(|path| fs::read(path).is_ok_and(|b| b != b"rubbish"));
    assert!(
        restored.count() > 0,
        "the result chunks that were read are restored"
    );
}

/// Runs jobs until one has result chunks on a given daemon's disk, and returns it. The two
/// holders of a chunk are picked from three disks, so a job may have no chunk on this disk,
/// and then nothing on it would be read.
fn job_with_results_on(site: &Site, entry: usize, items: u32) -> String {
    for n in 0..20 {
        let key = format!("damage-{n}");
        let job = site.caller(0).submit(&key, &lines(items));
        let job = job.expect("accepted").id;
        let accepted = chunk_files(&site.disk_folder(entry)).len();
        site.caller(0)
            .wait(&job, Duration::from_mins(1))
            .expect("it ends");
        if chunk_files(&site.disk_folder(entry)).len() > accepted {
            return job;
        }
    }
    panic!("none of 20 jobs stored results on the disk of entry-{entry}");
}

fn chunk_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            files.extend(chunk_files(&path));
        } else if path.file_name().is_some_and(|name| name.len() == 64) {
            files.push(path);
        }
    }
    files
}

/// The disks are full. A large job must be refused with a clear reason, and none of its
/// items may run. The job can be accepted once there is room.
#[test]
fn full_disks_refuse_a_job_with_a_clear_reason() {
    let site = start_site(1);
    let caller = site.caller(3);
    let refused = caller
        .submit("too-much", &lines(4_000))
        .expect_err("no room");
    let reason = refused.to_string();
    assert!(reason.starts_with("507"), "{reason}");
    assert!(
        reason.contains("disks_full") && reason.contains("\"ran\":\"no\""),
        "{reason}"
    );
}

/// The chunk API is for daemons only and rejects the tokens of callers and operators.
#[test]
fn chunks_are_for_peers_only() {
    let site = start_site(64);
    let path = format!("/internal/v1/chunks/0000/job/upload/{}", "a".repeat(64));
    for stranger in [site.caller(0), site.operator(0)] {
        let (status, _) = stranger.send("GET", &path, &[], b"").expect("an answer");
        assert_eq!(status, 401);
        let (status, _) = stranger.send("PUT", &path, &[], b"x").expect("an answer");
        assert_eq!(status, 401);
    }
}
