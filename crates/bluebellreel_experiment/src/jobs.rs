//! Batch jobs of an experiment, on the real board.

use crate::{BatchTeam, Scenario};
use bluebellreel_job::{
    ChunkRef, JobCounts, JobEffect, JobLimits, JobRecord, JobScheduler, JobState, JobTarget,
    OwnedJob, SchedulerLimits,
};
use bluebellreel_types::{AttemptId, EntryName, Incarnation, JobId, Moment, TeamName, WorkerName};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::fmt::Write;
use std::time::Duration;

/// Items of an input chunk.
const PER_CHUNK: u32 = 500;

/// The board and what it has recorded.
pub(crate) struct Jobs {
    pub(crate) scheduler: JobScheduler,
    pub(crate) recorded: u64,
    pub(crate) failed: u64,
    seed: u64,
    tokens: [u32; 2],
}

impl Jobs {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        Self {
            scheduler: JobScheduler::new(SchedulerLimits::default()),
            recorded: 0,
            failed: 0,
            seed: scenario.seed,
            tokens: scenario.batch_tokens,
        }
    }

    /// A team submits its job.
    pub(crate) fn submit(&mut self, team: &BatchTeam, now: Moment) {
        let chunks = (0..team.items.div_ceil(PER_CHUNK)).map(|chunk| ChunkRef {
            first: chunk * PER_CHUNK,
            items: PER_CHUNK.min(team.items - chunk * PER_CHUNK),
            digest: String::new(),
            bytes: 0,
            volume: None,
        });
        let record = JobRecord {
            id: JobId::from(team.job()),
            team: TeamName::from(team.name.as_str()),
            digest: String::new(),
            upload: String::new(),
            target: JobTarget::Chat("m".into()),
            accepted_at: now,
            deadline: now + Duration::from_secs_f64(team.due),
            items: team.items,
            chunks: chunks.collect(),
            state: JobState::Running,
            owner: EntryName::from("e"),
            owner_run: Incarnation(1),
            epoch: 1,
            counts: JobCounts::default(),
            ended_at: None,
        };
        let id = record.id.clone();
        let job = OwnedJob::open(record, 1, true, JobLimits::default(), &[], &[]);
        self.scheduler.jobs.insert(id, job);
    }

    /// A team's job is over; what of it is out at which worker.
    pub(crate) fn end(&mut self, team: &BatchTeam) -> Vec<(WorkerName, Vec<AttemptId>)> {
        let Some(mut job) = self.scheduler.jobs.remove(&JobId::from(team.job())) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        job.withdraw_all(&mut effects);
        let withdrawn = effects.into_iter().filter_map(|effect| match effect {
            JobEffect::Withdraw { worker, attempts } => Some((worker, attempts)),
            _ => None,
        });
        withdrawn.collect()
    }

    /// Does what the jobs want done; the store answers at once.
    pub(crate) fn poll(&mut self, now: Moment) {
        let mut over = Vec::new();
        for (id, job) in &mut self.scheduler.jobs {
            for effect in job.poll(now) {
                match effect {
                    JobEffect::LoadChunk(chunk) => {
                        let place = &job.record.chunks[chunk as usize];
                        let bytes = lines(self.seed, place.first, place.items, self.tokens);
                        // The lines are made here, so they can be read.
                        job.note_chunk(chunk, &bytes).ok();
                    }
                    JobEffect::Record { seq, results } => {
                        self.recorded += results.len() as u64;
                        job.note_recorded(seq, now);
                    }
                    JobEffect::Close { counts, .. } => {
                        self.failed += u64::from(counts.failed);
                        over.push(id.clone());
                    }
                    JobEffect::Withdraw { .. } | JobEffect::QueryAttempt { .. } => {}
                }
            }
        }
        for id in over {
            self.scheduler.jobs.remove(&id);
        }
    }
}

/// Lines of a chunk; an item's number of tokens follows from the seed.
fn lines(seed: u64, first: u32, items: u32, tokens: [u32; 2]) -> Vec<u8> {
    let mut rng = SmallRng::seed_from_u64(seed ^ u64::from(first));
    let mut text = String::new();
    for number in first..first + items {
        let tokens = crate::load::pick(&mut rng, tokens);
        writeln!(
            text,
            "{{\"custom_id\":\"n{number}\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\
             \"body\":{{\"model\":\"m\",\"max_tokens\":{tokens},\"messages\":[{{\"role\":\"user\",\
             \"content\":\"{number}\"}}]}}}}"
        )
        .ok();
    }
    text.into_bytes()
}
